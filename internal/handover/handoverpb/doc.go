// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package handoverpb is the protobuf code of the messages by which entries hand jobs over, generated from handover.proto by
// generate.sh.
package handoverpb
