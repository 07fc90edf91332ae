// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package durablepb is the protobuf and twirp code of package durable's records and calls, generated from durable.proto
// by generate.sh.
package durablepb
