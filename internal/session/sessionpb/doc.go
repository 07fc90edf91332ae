// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package sessionpb is the protobuf code of the messages between entries and agents, generated from session.proto by
// generate.sh.
package sessionpb
