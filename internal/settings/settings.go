// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package settings reads and checks the settings file of a process, which is JSON with comments. It owns the names,
// defaults, ranges and help texts of all options; what an option does is decided where it is used. It relies on nothing
// but the file: a file that is missing or wrong stops the start with an error that names the line.
package settings

import "time"

// Role is the kind of a process. Each role has its own options.
type Role string

// The roles of processes.
const (
	RoleEntry           Role = "entry"
	RoleAgent           Role = "agent"
	RolePlatformEntry   Role = "platform-entry"
	RolePlatformAgent   Role = "platform-agent"
	RoleOperator        Role = "operator"
	RolePlatformStandin Role = "platform-standin"
	RoleBackendStandin  Role = "backend-standin"
)

// nameOfRoleOption is the option that every file needs; it decides which other options the file may have.
const nameOfRoleOption = "role"

// defaultPlatform is where the platform stand-in of the examples listens.
const defaultPlatform Address = "127.0.0.1:7400"

// Roles lists all roles.
func Roles() []Role {
	return []Role{RoleEntry, RoleAgent, RolePlatformEntry, RolePlatformAgent, RoleOperator, RolePlatformStandin, RoleBackendStandin}
}

// The values of the option policy: how the owner of a job on sailhead's own interface chooses a worker. Package
// internal/native/placement implements them.
const (
	PolicyRandom      = "random"
	PolicyTwoChoices  = "two_choices"
	PolicyLeastLoaded = "least_loaded"
)

// Policies lists the values of the option policy.
func Policies() []string {
	return []string{PolicyRandom, PolicyTwoChoices, PolicyLeastLoaded}
}

// Address is an IP address with a port, such as 127.0.0.1:7500. Empty is none.
type Address string

// Size is a number of bytes.
type Size int64

// Settings holds the value of every option. Those that the role does not have keep their defaults. The help text of an
// option, see Options, says what its field means.
type Settings struct {
	Role     Role
	Name     string
	Region   string
	Zone     string
	LogLevel string

	// Of processes of several roles.
	PlatformAddress Address
	PlatformTimeout time.Duration
	PeerAddress     Address
	Seeds           []Address
	GossipInterval  time.Duration
	GossipFanout    int
	StopTimeout     time.Duration
	TimelineEvents  int
	Ring            int
	Window          time.Duration
	// Skew is the option clock_skew.
	Skew time.Duration

	// Of entries; CallerAddress of both kinds.
	CallerAddress  Address
	MaxBody        Size
	MaxConnections int
	ReadTimeout    time.Duration
	Bindings       int
	ListInterval   time.Duration
	ListLag        time.Duration

	// Of agents; BackendAddress of both kinds.
	BackendAddress Address
	BackendTimeout time.Duration
	Slots          int
	Connections    int
	Queue          int
	TaskRecords    int
	Submissions    int
	Policy         string
	PolicySubset   int
	Bounces        int
	BounceWait     time.Duration

	// Of processes on the users' platform.
	ReadyAddress     Address
	HeartbeatAddress Address
	MetricsAddress   Address
	Jobs             int
	StoreWrites      int
	CrossRackFactor  float64
	// ContainKinds, HandOver, ShareLearned, EjectWorkers, ForecastAdmission and Shares are Yes or No.
	ContainKinds      string
	HandOver          string
	ShareLearned      string
	EjectWorkers      string
	ForecastAdmission string
	Shares            string
	ShareWeights      []Weight
	// MaxWorkerLease is the option hold_time.
	MaxWorkerLease time.Duration
	StopTime       time.Duration

	// Of the stand-ins.
	ListenAddress  Address
	ServiceTimeMin time.Duration
	ServiceTimeMax time.Duration
}

// WeightsByKind returns the option share_weights by kind.
func (s Settings) WeightsByKind() map[string]float64 {
	weights := make(map[string]float64, len(s.ShareWeights))
	for _, weight := range s.ShareWeights {
		weights[weight.Kind] = weight.Value
	}
	return weights
}

// SeedAddresses returns the addresses of the option seeds.
func (s Settings) SeedAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, string(seed))
	}
	return addresses
}
