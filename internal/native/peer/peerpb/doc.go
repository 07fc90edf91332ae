// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package peerpb is the protobuf and twirp code of package peer's messages, generated from peer.proto by generate.sh.
package peerpb
