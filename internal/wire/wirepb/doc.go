// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package wirepb is the protobuf code of the messages that sessions and exchanges have in common, generated from wire.proto by
// generate.sh.
package wirepb
