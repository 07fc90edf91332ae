// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package keyvalue is the client of the platform's key-value service and list of VMs, on which sailhead's own interface
// runs. The store of the users' platform is another one: see /platform. Errors have the prefix "platform:".
//
// A Client makes the calls (client.go). A Document is a JSON value under one key that is changed by compare-and-swap
// (document.go). The package owns nothing but its connections: values and leases are the service's.
//
// If the service does not answer, each call ends with an error after the timeout of the client, a watch after
// watchWait more. The client repeats no call; only Document.Update does, as it can tell whether a write whose answer was
// lost has taken effect.
package keyvalue
