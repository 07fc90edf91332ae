// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package clusterpb is the protobuf and twirp code of package cluster's messages, generated from cluster.proto by
// generate.sh.
package clusterpb
