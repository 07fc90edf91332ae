// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"
)

func TestADependencyIsLoggedOnceWhenLostAndOnceWhenRegained(t *testing.T) {
	var out bytes.Buffer
	d := newDependencies(log.NewLogfmtLogger(&out))
	for _, err := range []error{nil, errors.New("down"), errors.New("down"), nil, nil, errors.New("down")} {
		d.observe("store", err)
	}
	if lost, regained := strings.Count(out.String(), "lost"), strings.Count(out.String(), "regained"); lost != 2 || regained != 1 {
		t.Fatalf("%s", out.String())
	}
}
