// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package durablepb contains the protobuf messages and Twirp services of package durable. It is generated from durable.proto by
// generate.sh.
package durablepb
