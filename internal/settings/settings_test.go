// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package settings

import (
	"bytes"
	"maps"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodAgent = `{
  // the agent of worker-1
  "role": "agent",
  "name": "worker-1",
  "peer_address": "127.0.0.1:7601",
  "backend_address": "127.0.0.1:7701",
`

const goodPlatformEntry = `{
  // an entry on the users' platform
  "role": "platform-entry",
  "name": "entry-1",
  "peer_address": "127.0.0.1:7601",
  "ready_address": "127.0.0.1:7602",
`

func TestParseReadsWeights(t *testing.T) {
	s, err := Parse("f.json", []byte(goodPlatformEntry+`"share_weights": ["refunds=2", "reports=0.5"]}`), "")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{"refunds": 2, "reports": 0.5}
	if got := s.WeightsByKind(); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	var dumped bytes.Buffer
	if err := s.Dump(&dumped); err != nil {
		t.Fatal(err)
	}
	if line := `"share_weights": ["refunds=2","reports=0.5"],`; !strings.Contains(dumped.String(), line) {
		t.Errorf("dumped %s, want a line %s", dumped.String(), line)
	}
}

func TestParseNamesFileLineAndOption(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown option", goodAgent + `"slot": 8}`, `settings: f.json:7: option slot: is unknown`},
		{"other role's option", goodAgent + `"caller_address": "127.0.0.1:1"}`, `settings: f.json:7: option caller_address: does not belong to the role agent`},
		{"count as text", goodAgent + `"slots": "8"}`, `settings: f.json:7: option slots: needs a whole number`},
		{"count with fraction", goodAgent + `"slots": 1.5}`, `settings: f.json:7: option slots: needs a whole number`},
		{"count out of range", goodAgent + `"slots": 0}`, `settings: f.json:7: option slots: 0 is not within 1 to 1024`},
		{"time without unit", goodAgent + `"window": 5}`, `settings: f.json:7: option window: needs a time with a unit, such as "250ms"`},
		{"time out of range", goodAgent + `"window": "2h"}`, `settings: f.json:7: option window: 2h0m0s is not within 1s to 1h0m0s`},
		{"host name", goodAgent + `"platform_address": "store:7400"}`, `settings: f.json:7: option platform_address: "store:7400" is not an IP address with a port, such as "127.0.0.1:7500"`},
		{"list of numbers", goodAgent + `"seeds": [1]}`, `settings: f.json:7: option seeds: needs an IP address with a port, such as "127.0.0.1:7500"`},
		{"unknown choice", goodAgent + `"policy": "best"}`, `settings: f.json:7: option policy: "best" is none of [random two_choices least_loaded]`},
		{"twice", goodAgent + `"slots": 8, "slots": 9}`, `settings: f.json:7: option slots: stands twice, first on line 7`},
		{"fewer connections than slots", goodAgent + `"connections": 4}`, `settings: f.json:7: option connections: 4 are fewer than the 8 slots`},
		{"missing option", "{\n\"role\": \"entry\",\n\"name\": \"e\"}", `settings: f.json:3: option peer_address: is missing`},
		{"missing role", `{"name": "e"}`, `settings: f.json:1: option role: is missing`},
		{"unknown role", `{"role": "king"}`, `settings: f.json:1: option role: king is none of [entry agent platform-entry platform-agent operator platform-standin backend-standin]`},
		{"no object", `[]`, `settings: f.json:1: needs an object of options`},
		{"size without unit", `{"role": "entry", "name": "e", "peer_address": "127.0.0.1:1", "max_body": 5}`, `settings: f.json:1: option max_body: needs a size with a unit, such as "8MiB"`},
		{"weight without kind", goodPlatformEntry + `"share_weights": ["2"]}`, `settings: f.json:7: option share_weights: 2 is not a kind with its weight, such as "refunds=2"`},
		{"weight out of range", goodPlatformEntry + `"share_weights": ["refunds=0"]}`, `settings: f.json:7: option share_weights: the weight of refunds is not within 0.01 to 100`},
		{"two weights of a kind", goodPlatformEntry + `"share_weights": ["refunds=2", "reports=3", "refunds=4"]}`, `settings: f.json:7: option share_weights: refunds has two weights`},
		{"bounds crossed", `{"role": "backend-standin", "name": "b", "listen_address": "127.0.0.1:1", "service_time_min": "1s"}`, `settings: f.json:1: option service_time_min: 1s is more than service_time_max 500ms`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.json", []byte(test.text), "")
			if err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}

func TestParseRefusesBrokenJSON(t *testing.T) {
	_, err := Parse("f.json", []byte("{\n\"role\": \"entry\",\n\"name\" 5}"), "")
	if err == nil || !strings.Contains(err.Error(), "f.json") || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got %v", err)
	}
}

func TestParseRequiresRoleOfCommand(t *testing.T) {
	_, err := Parse("f.json", []byte(goodAgent+"}"), RoleEntry)
	if want := `settings: f.json:3: option role: is "agent", the command needs "entry"`; err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
}

func TestParseReturnsValuesAndDefaults(t *testing.T) {
	s, err := Parse("f.json", []byte(goodAgent+`"window": "90s", "seeds": ["127.0.0.1:1"],}`), "")
	if err != nil {
		t.Fatal(err)
	}
	if s.Window != 90*time.Second || len(s.Seeds) != 1 || s.Slots != 8 || s.Skew != 250*time.Millisecond {
		t.Errorf("got %+v", s)
	}
}

func TestDumpIsValidSettings(t *testing.T) {
	s, err := Parse("f.json", []byte(goodAgent+`"window": "90s", "policy": "random"}`), "")
	if err != nil {
		t.Fatal(err)
	}
	var dump bytes.Buffer
	if err := s.Dump(&dump); err != nil {
		t.Fatal(err)
	}
	again, err := Parse("dump", dump.Bytes(), RoleAgent)
	if err != nil {
		t.Fatalf("%v in\n%s", err, dump.String())
	}
	var second bytes.Buffer
	if err := again.Dump(&second); err != nil || second.String() != dump.String() {
		t.Errorf("%v: the dump changed:\n%s", err, second.String())
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.json")
	if err != nil || len(files) < 8 {
		t.Fatalf("%v: found %v", err, files)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}
