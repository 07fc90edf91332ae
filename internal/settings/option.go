// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package settings

import (
	"slices"
	"time"

	"sailhead/internal/logging"
)

// Option describes one option.
type Option struct {
	Name string
	// Help is one sentence for operators. It is part of the interface: dump-settings prints it.
	Help string
	// Roles are the roles that have the option; empty means all.
	Roles []Role
	// Default has the type of the option's field in Settings, as have Min and Max. Those are nil if the option has no
	// range.
	Default any
	Min     any
	Max     any
	// Choices are the only values of a text option; empty means any.
	Choices []string
	// IsRequired makes a file without the option an error.
	IsRequired bool
	// value returns a pointer to the option's field.
	value func(*Settings) any
}

// The values of options that turn something on or off.
const (
	Yes = "yes"
	No  = "no"
)

// Groups of roles that have an option in common.
var (
	entries         = []Role{RoleEntry}
	agents          = []Role{RoleAgent}
	daemons         = []Role{RoleEntry, RoleAgent}
	clients         = []Role{RoleEntry, RoleAgent, RoleOperator}
	platformEntries = []Role{RolePlatformEntry}
	platformAgents  = []Role{RolePlatformAgent}
	onPlatform      = []Role{RolePlatformEntry, RolePlatformAgent}
	allDaemons      = slices.Concat(daemons, onPlatform)
	allEntries      = slices.Concat(entries, platformEntries)
	allAgents       = slices.Concat(agents, platformAgents)
	platformClients = slices.Concat(clients, onPlatform)
	servers         = []Role{RolePlatformStandin, RoleBackendStandin}
	backend         = []Role{RoleBackendStandin}
)

// Options returns all options in the order in which dump-settings prints them. On the users' platform the deploy file replaces the defaults of stop_timeout,
// hold_time, stop_time and store_writes by the platform's own bounds (grace_s, hold_max_ms, stop_ms, writes_per_s).
func Options() []Option {
	return slices.Concat(commonOptions(), entryOptions(), agentOptions(), platformOptions(), standinOptions())
}

// commonOptions returns the options of several roles.
func commonOptions() []Option {
	return []Option{
		{Name: "name", Help: "Name of the process; for an agent the name of its worker.", Default: "", IsRequired: true,
			value: func(s *Settings) any { return &s.Name }},
		{Name: "region", Help: "Region, whose processes share a roster.", Roles: clients, Default: "region-1",
			value: func(s *Settings) any { return &s.Region }},
		{Name: "zone", Help: "Availability zone.", Roles: allDaemons, Default: "zone-1",
			value: func(s *Settings) any { return &s.Zone }},
		{Name: "log_level", Help: "Least severity that is logged.", Default: string(logging.LevelInfo),
			Choices: []string{string(logging.LevelDebug), string(logging.LevelInfo), string(logging.LevelWarn), string(logging.LevelError)},
			value:   func(s *Settings) any { return &s.LogLevel }},
		{Name: "platform_address", Help: "Address of the platform's service.", Roles: platformClients, Default: defaultPlatform,
			value: func(s *Settings) any { return &s.PlatformAddress }},
		{Name: "platform_timeout", Help: "Longest time of a call to the platform.", Roles: clients,
			Default: 2 * time.Second, Min: 10 * time.Millisecond, Max: time.Minute,
			value: func(s *Settings) any { return &s.PlatformTimeout }},
		{Name: "peer_address", Help: "Address at which other processes reach this one.", Roles: allDaemons, IsRequired: true, Default: Address(""),
			value: func(s *Settings) any { return &s.PeerAddress }},
		{Name: "seeds", Help: "Peer addresses to learn from while the platform does not answer.", Roles: platformClients, Default: []Address(nil),
			value: func(s *Settings) any { return &s.Seeds }},
		{Name: "gossip_interval", Help: "Time between two exchanges with peers.", Roles: daemons,
			Default: time.Second, Min: 20 * time.Millisecond, Max: time.Minute,
			value: func(s *Settings) any { return &s.GossipInterval }},
		{Name: "gossip_fanout", Help: "Number of peers in one exchange.", Roles: daemons, Default: 1, Min: 1, Max: 16,
			value: func(s *Settings) any { return &s.GossipFanout }},
		{Name: "stop_timeout", Help: "Longest time of a planned stop.", Roles: allDaemons,
			Default: 30 * time.Second, Min: time.Duration(0), Max: 10 * time.Minute,
			value: func(s *Settings) any { return &s.StopTimeout }},
		{Name: "timeline_events", Help: "Number of events that the time line keeps.", Roles: daemons, Default: 4096, Min: 16, Max: 1_000_000,
			value: func(s *Settings) any { return &s.TimelineEvents }},
		{Name: "ring", Help: "Number of events that may wait for a duty of the process.", Roles: allDaemons, Default: 1024, Min: 16, Max: 1_000_000,
			value: func(s *Settings) any { return &s.Ring }},
		{Name: "window", Help: "How long after its issue a submission key is accepted and remembered.", Roles: daemons,
			Default: 2 * time.Minute, Min: time.Second, Max: time.Hour,
			value: func(s *Settings) any { return &s.Window }},
		{Name: "clock_skew", Help: "Largest difference between any two clocks, callers' included.", Roles: daemons,
			Default: 250 * time.Millisecond, Min: time.Duration(0), Max: 10 * time.Second,
			value: func(s *Settings) any { return &s.Skew }},
	}
}

// entryOptions returns the options of entries, most of them for sailhead's own interface only.
func entryOptions() []Option {
	return []Option{
		{Name: "caller_address", Help: "Address at which callers reach the entry.", Roles: allEntries, Default: Address("127.0.0.1:7500"),
			value: func(s *Settings) any { return &s.CallerAddress }},
		{Name: "max_body", Help: "Largest body of a caller's request.", Roles: entries, Default: Size(8 << 20), Min: Size(1 << 10), Max: Size(64 << 20),
			value: func(s *Settings) any { return &s.MaxBody }},
		{Name: "max_connections", Help: "Largest number of callers' connections.", Roles: entries, Default: 4096, Min: 1, Max: 100_000,
			value: func(s *Settings) any { return &s.MaxConnections }},
		{Name: "read_timeout", Help: "Longest time in which a caller sends a request.", Roles: entries,
			Default: 5 * time.Second, Min: 10 * time.Millisecond, Max: time.Minute,
			value: func(s *Settings) any { return &s.ReadTimeout }},
		{Name: "bindings", Help: "Number of submission keys that the entry remembers.", Roles: entries, Default: 200_000, Min: 1, Max: 10_000_000,
			value: func(s *Settings) any { return &s.Bindings }},
		{Name: "list_interval", Help: "Time between two readings of the platform's list of VMs.", Roles: entries,
			Default: 2 * time.Second, Min: 20 * time.Millisecond, Max: time.Minute,
			value: func(s *Settings) any { return &s.ListInterval }},
		{Name: "list_lag", Help: "Longest lag of the platform's list of VMs.", Roles: entries,
			Default: 30 * time.Second, Min: time.Duration(0), Max: time.Hour,
			value: func(s *Settings) any { return &s.ListLag }},
	}
}

// agentOptions returns the options of agents, most of them for sailhead's own interface only.
func agentOptions() []Option {
	return []Option{
		{Name: "backend_address", Help: "Address of the backend server.", Roles: allAgents, IsRequired: true, Default: Address(""),
			value: func(s *Settings) any { return &s.BackendAddress }},
		{Name: "backend_timeout", Help: "Longest time that a task holds its slot.", Roles: agents,
			Default: 10 * time.Second, Min: 10 * time.Millisecond, Max: 10 * time.Minute,
			value: func(s *Settings) any { return &s.BackendTimeout }},
		{Name: "slots", Help: "Number of tasks that the worker runs at a time.", Roles: agents, Default: 8, Min: 1, Max: 1024,
			value: func(s *Settings) any { return &s.Slots }},
		{Name: "connections", Help: "Largest number of connections to the backend server.", Roles: agents, Default: 60, Min: 1, Max: 10_000,
			value: func(s *Settings) any { return &s.Connections }},
		{Name: "queue", Help: "Number of tasks that may wait for a slot.", Roles: agents, Default: 512, Min: 0, Max: 100_000,
			value: func(s *Settings) any { return &s.Queue }},
		{Name: "task_records", Help: "Number of tasks that the guard remembers.", Roles: agents, Default: 50_000, Min: 1, Max: 10_000_000,
			value: func(s *Settings) any { return &s.TaskRecords }},
		{Name: "submissions", Help: "Number of submissions that the owner remembers.", Roles: agents, Default: 20_000, Min: 1, Max: 10_000_000,
			value: func(s *Settings) any { return &s.Submissions }},
		{Name: "policy", Help: "How the owner chooses a worker for a task.", Roles: agents, Default: PolicyTwoChoices, Choices: Policies(),
			value: func(s *Settings) any { return &s.Policy }},
		{Name: "policy_subset", Help: "Number of workers that the policy least_loaded compares; 0 is all.", Roles: agents, Default: 0, Min: 0, Max: 10_000,
			value: func(s *Settings) any { return &s.PolicySubset }},
		{Name: "bounces", Help: "Number of workers that may send a task on that would wait there; each costs two messages.", Roles: agents, Default: 0, Min: 0, Max: 3,
			value: func(s *Settings) any { return &s.Bounces }},
		{Name: "bounce_wait", Help: "Expected wait beyond which a worker sends a task on.", Roles: agents,
			Default: 10 * time.Millisecond, Min: time.Millisecond, Max: time.Minute,
			value: func(s *Settings) any { return &s.BounceWait }},
	}
}

// yesOrNo returns an option of some roles that turns something off. It is Yes by default.
func yesOrNo(name, help string, roles []Role, place func(*Settings) *string) Option {
	return Option{
		Name: name, Help: help, Roles: roles, Default: Yes, Choices: []string{Yes, No},
		value: func(s *Settings) any { return place(s) },
	}
}

// platformOptions returns the options of processes on the users' platform only.
func platformOptions() []Option {
	return []Option{
		{Name: "ready_address", Help: "Address at which the balancer asks whether the entry takes jobs.", Roles: platformEntries, IsRequired: true, Default: Address(""),
			value: func(s *Settings) any { return &s.ReadyAddress }},
		{Name: "jobs", Help: "Largest number of jobs under way at an entry.", Roles: platformEntries, Default: 4096, Min: 1, Max: 1_000_000,
			value: func(s *Settings) any { return &s.Jobs }},
		{Name: "store_writes", Help: "Writes to the platform's store that all entries together may make in a second.", Roles: platformEntries, Default: 400, Min: 1, Max: 1_000_000,
			value: func(s *Settings) any { return &s.StoreWrites }},
		yesOrNo("contain_kinds", "Whether a kind of which jobs crash workers is confined to some workers.", platformEntries,
			func(s *Settings) *string { return &s.ContainKinds }),
		{Name: "far_times", Help: "By how many times a task takes longer on a worker of another rack than that of its data; 1 if that does not matter.",
			Roles: platformEntries, Default: 1.0, Min: 1.0, Max: 100.0,
			value: func(s *Settings) any { return &s.CrossRackFactor }},
		yesOrNo("hand_over", "Whether jobs are handed over to other entries while this one does not keep up or stops.", platformEntries,
			func(s *Settings) *string { return &s.HandOver }),
		yesOrNo("share_learned", "Whether entries share what they learn of the run times and the callers of each kind.", platformEntries,
			func(s *Settings) *string { return &s.ShareLearned }),
		yesOrNo("eject_workers", "Whether a worker on which too many runs fail gets no tasks but probes until it is well again.", onPlatform,
			func(s *Settings) *string { return &s.EjectWorkers }),
		yesOrNo("forecast_admission", "Whether a job is refused on arrival if it would wait too long for a worker.", platformEntries,
			func(s *Settings) *string { return &s.ForecastAdmission }),
		yesOrNo("shares", "Whether workers are divided between kinds of jobs and availability zones while there is too little room.", onPlatform,
			func(s *Settings) *string { return &s.Shares }),
		{Name: "share_weights", Help: "Weights of kinds in the shares, each as KIND=WEIGHT, 1 for others.", Roles: platformEntries, Default: []Weight(nil),
			value: func(s *Settings) any { return &s.ShareWeights }},
		{Name: "heartbeat_address", Help: "Address at which the worker beside the agent reports.", Roles: platformAgents, IsRequired: true, Default: Address(""),
			value: func(s *Settings) any { return &s.HeartbeatAddress }},
		{Name: "hold_time", Help: "Longest lease that the worker grants.", Roles: platformAgents,
			Default: time.Second, Min: 200 * time.Millisecond, Max: time.Hour,
			value: func(s *Settings) any { return &s.MaxWorkerLease }},
		{Name: "stop_time", Help: "Longest time that the worker takes to stop a run.", Roles: platformAgents,
			Default: 50 * time.Millisecond, Min: time.Millisecond, Max: time.Minute,
			value: func(s *Settings) any { return &s.StopTime }},
		{Name: "metrics_address", Help: "Address at which the process shows its counters; without one it does not.", Roles: onPlatform, Default: Address(""),
			value: func(s *Settings) any { return &s.MetricsAddress }},
	}
}

// standinOptions returns the options of the stand-ins.
func standinOptions() []Option {
	return []Option{
		{Name: "listen_address", Help: "Address at which the stand-in listens.", Roles: servers, IsRequired: true, Default: Address(""),
			value: func(s *Settings) any { return &s.ListenAddress }},
		{Name: "service_time_min", Help: "Shortest time of a task.", Roles: backend, Default: 50 * time.Millisecond, Min: time.Duration(0), Max: time.Minute,
			value: func(s *Settings) any { return &s.ServiceTimeMin }},
		{Name: "service_time_max", Help: "Longest time of a task.", Roles: backend, Default: 500 * time.Millisecond, Min: time.Duration(0), Max: time.Minute,
			value: func(s *Settings) any { return &s.ServiceTimeMax }},
	}
}
