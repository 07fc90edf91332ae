// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package version holds the version of the binary.
package version

// Version is what sailhead --version prints. make build sets it by the linker; "dev" is a build without it.
var Version = "dev"
