// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package native holds no code. The packages below it serve sailhead's own caller interface (POST /v1/jobs), the
// operators' language and the demo: the roles entry, agent, operator and the two stand-ins.
//
// None of them runs on the users' platform. The roles platform-entry and platform-agent, which the on-call engineers
// look after, are made of the packages beside this folder and of /platform.
package native
