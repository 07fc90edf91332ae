// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package settings reads a process's settings file, JSON with comments, and checks every option.
package settings

import (
	"time"
)

// Role is what a process does; each role has its own options.
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
	nameOfRoleOption         = "role"
	defaultPlatform          = "127.0.0.1:7400"
)

// Roles lists all roles.
func Roles() []Role {
	return []Role{RoleEntry, RoleAgent, RolePlatformEntry, RolePlatformAgent, RoleOperator, RolePlatformStandin, RoleBackendStandin}
}

// The policies by which the owner of a job on sailhead's own interface chooses a worker; internal/native/placement has them.
const (
	PolicyRandom      = "random"
	PolicyTwoChoices  = "two_choices"
	PolicyLeastLoaded = "least_loaded"
)

// Policies lists the names that the option policy takes.
func Policies() []string {
	return []string{PolicyRandom, PolicyTwoChoices, PolicyLeastLoaded}
}

// Address is an IP address with a port.
type Address string

// Size is a number of bytes.
type Size int64

// Settings are the options in force.
type Settings struct {
	Role     Role
	Name     string
	Region   string
	Zone     string
	LogLevel string

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
	Skew            time.Duration

	CallerAddress  Address
	MaxBody        Size
	MaxConnections int
	ReadTimeout    time.Duration
	Bindings       int
	ListInterval   time.Duration
	ListLag        time.Duration

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

	ReadyAddress     Address
	HeartbeatAddress Address
	MetricsAddress   Address
	Jobs             int
	StoreWrites      int
	HoldTime         time.Duration
	StopTime         time.Duration

	ListenAddress  Address
	ServiceTimeMin time.Duration
	ServiceTimeMax time.Duration
}
