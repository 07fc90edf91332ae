// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"reflect"
	"testing"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

func loadEvent(agent dispatch.AgentID, handled uint64, accepts bool) dispatch.Event {
	return dispatch.LoadReceived{Agent: agent, Handled: handled, Load: runner.Load{Accepts: accepts}}
}

func TestOnlyTheNewestLoadOfAnAgentIsHandled(t *testing.T) {
	up := dispatch.AgentUp{Agent: "c"}
	for name, test := range map[string]struct{ events, want []dispatch.Event }{
		"none":           {nil, nil},
		"one":            {[]dispatch.Event{loadEvent("a", 1, true)}, []dispatch.Event{loadEvent("a", 1, true)}},
		"of one agent":   {[]dispatch.Event{loadEvent("a", 1, true), loadEvent("a", 2, true), up}, []dispatch.Event{loadEvent("a", 2, true), up}},
		"of two agents":  {[]dispatch.Event{loadEvent("a", 1, true), loadEvent("b", 1, true)}, []dispatch.Event{loadEvent("a", 1, true), loadEvent("b", 1, true)}},
		"others between": {[]dispatch.Event{loadEvent("a", 1, true), up, loadEvent("a", 2, true)}, []dispatch.Event{up, loadEvent("a", 2, true)}},
		"another state": {
			[]dispatch.Event{loadEvent("a", 1, true), loadEvent("a", 2, false), loadEvent("a", 3, false), loadEvent("a", 4, true)},
			[]dispatch.Event{loadEvent("a", 1, true), loadEvent("a", 3, false), loadEvent("a", 4, true)},
		},
	} {
		got := newLoadFilter().dropSuperseded(test.events)
		if len(got) != len(test.want) || len(got) > 0 && !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}
