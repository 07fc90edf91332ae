// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package sessionpb holds the protobuf messages between entries and agents. All other files are generated from
// session.proto by generate.sh.
package sessionpb
