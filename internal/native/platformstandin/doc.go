// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package platformstandin stands in for the platform in tests, the demo and trials. It keeps the key-value service
// (store.go) and the list of VMs (vms.go) in memory and serves them over HTTP (server.go) in the protocol of package
// keyvalue. On request it shows outages, delays, lost answers and a lagging list. It calls no one; when it stops, all its
// values are gone.
package platformstandin
