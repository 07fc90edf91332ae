// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sailhead/internal/native/model"
)

// fake answers jobs without a system behind it.
type fake struct {
	submit func(model.Job) model.Answer
}

func (f *fake) Submit(job model.Job) model.Answer    { return f.submit(job) }
func (f *fake) State(model.Key) (model.Answer, bool) { return nil, false }
func (f *fake) IsRepeatable(string, string) bool     { return true }
func (f *fake) IsReady() (reason string, ready bool) { return "starting", false }
func complete(job model.Job) model.Answer            { return model.Complete{Results: job.Tasks} }
func never(model.Job) model.Answer                   { panic("a bad request reached the dispatcher") }
func always(a model.Answer) func(model.Job) model.Answer {
	return func(model.Job) model.Answer { return a }
}

func serve(t *testing.T, submit func(model.Job) model.Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{MaxBody: 1 << 20, MaxConnections: 16, ReadTimeout: 200 * time.Millisecond}
	stop := NewServer(listener, limits, &fake{submit: submit})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = stop(ctx)
	})
	return listener.Addr().String()
}

func post(t *testing.T, address, body string) (int, http.Header, response) {
	t.Helper()
	answer, err := http.Post("http://"+address+PathJobs, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var r response
	if err := json.NewDecoder(answer.Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, answer.Header, r
}

func tasks(n int) string {
	return "[" + strings.TrimSuffix(strings.Repeat("{},", n), ",") + "]"
}

func body(field, value string) string {
	fields := []string{`"submission":"k"`, `"service":"s"`, `"kind":"k"`, `"team":"t"`, `"tasks":[1]`}
	if field != "" {
		fields = append(fields, fmt.Sprintf("%q:%s", field, value))
	}
	return "{" + strings.Join(fields, ",") + "}"
}

func TestBadRequestsNameTheFieldAndRunNothing(t *testing.T) {
	address := serve(t, never)
	for _, test := range []struct{ name, body, field string }{
		{"malformed", `{"submission":`, "body"},
		{"empty", ``, "body"},
		{"list", `[1]`, "body"},
		{"two values", body("", "") + "{}", "body"},
		{"unknown field", body("urgent", "true"), "urgent"},
		{"number as key", `{"submission":5}`, "submission"},
		{"key with space", body("submission", `"a b"`), "submission"},
		{"key too long", body("submission", `"`+strings.Repeat("k", 129)+`"`), "submission"},
		{"no key", `{"service":"s","kind":"k","team":"t","tasks":[1]}`, "submission"},
		{"attempt 0", body("attempt", "0"), "attempt"},
		{"attempt below 0", body("attempt", "-1"), "attempt"},
		{"service with slash", body("service", `"a/b"`), "service"},
		{"empty kind", body("kind", `""`), "kind"},
		{"team too long", body("team", `"`+strings.Repeat("t", 65)+`"`), "team"},
		{"deadline as words", body("deadline", `"soon"`), "deadline"},
		{"deadline as number", body("deadline", `5`), "deadline"},
		{"deadline far ahead", body("deadline", `"2999-01-01T00:00:00Z"`), "deadline"},
		{"no tasks", body("tasks", `[]`), "tasks"},
		{"tasks as text", body("tasks", `"x"`), "tasks"},
		{"1,801 tasks", body("tasks", tasks(1801)), "tasks"},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, _, r := post(t, address, test.body)
			if status != http.StatusBadRequest || r.Status != "rejected" || r.Field != test.field || r.Reason == "" {
				t.Errorf("got %d %+v, want field %s", status, r, test.field)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name       string
		answer     model.Answer
		status     int
		retryAfter string
		want       string
	}{
		{"complete", model.Complete{Results: [][]byte{[]byte(`{"a":1}`), []byte("text")}}, 200, "", `{"submission":"k","status":"complete","results":[{"a":1},"text"]}`},
		{"not run", model.NotRun{Reason: "busy", RetryAfter: 1200 * time.Millisecond}, 503, "2", `{"submission":"k","status":"not_run","reason":"busy","retry_after_ms":1200}`},
		{"over quota", model.NotRun{Reason: "quota", RetryAfter: time.Millisecond, OverQuota: true}, 429, "1", `{"submission":"k","status":"not_run","reason":"quota","retry_after_ms":1}`},
		{"failed", model.Failed{Reason: "gone", MayHaveRun: true}, 502, "", `{"submission":"k","status":"failed","reason":"gone","may_have_run":true,"repeatable":true}`},
		{"timed out", model.Failed{Reason: "late", TimedOut: true}, 504, "", `{"submission":"k","status":"failed","reason":"late","may_have_run":false,"repeatable":true}`},
		{"rejected", model.Rejected{Field: "kind", Reason: "unknown"}, 400, "", `{"submission":"k","status":"rejected","reason":"unknown","field":"kind"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, always(test.answer))
			answer, err := http.Post("http://"+address+PathJobs, "application/json", strings.NewReader(body("", "")))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = answer.Body.Close() }()
			got, err := io.ReadAll(answer.Body)
			if err != nil || answer.StatusCode != test.status || answer.Header.Get("Retry-After") != test.retryAfter || string(got) != test.want {
				t.Errorf("got %d, retry after %q, %s, %v", answer.StatusCode, answer.Header.Get("Retry-After"), got, err)
			}
		})
	}
}

func TestTheLargestJobIsTaken(t *testing.T) {
	address := serve(t, complete)
	status, header, r := post(t, address, body("tasks", tasks(1800)))
	if status != http.StatusOK || len(r.Results) != 1800 || header.Get(HeaderTrace) == "" {
		t.Errorf("got %d with %d results and trace %q", status, len(r.Results), header.Get(HeaderTrace))
	}
}

// answerTo writes to a connection and returns the status line and whether the connection was closed.
func answerTo(t *testing.T, address, text string) (string, bool) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(connection)
	line, _ := reader.ReadString('\n')
	_, err = io.Copy(io.Discard, reader)
	return strings.TrimSpace(line), err == nil
}

func TestAHundredMegabytesAreRefusedUnread(t *testing.T) {
	address := serve(t, never)
	line, closed := answerTo(t, address, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n{")
	if !strings.Contains(line, "413") || !closed {
		t.Errorf("got %q, closed %t", line, closed)
	}
}

func TestHalfARequestThenSilenceHoldsNothingUp(t *testing.T) {
	address := serve(t, complete)
	silent := make(chan string)
	go func() {
		line, closed := answerTo(t, address, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"subm")
		silent <- fmt.Sprint(line, closed)
	}()
	if status, _, _ := post(t, address, body("", "")); status != http.StatusOK {
		t.Errorf("another caller got %d", status)
	}
	if got := <-silent; !strings.HasSuffix(got, "true") {
		t.Errorf("the silent connection was not closed: %s", got)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	address := serve(t, complete)
	const limit = 16
	var held []net.Conn
	for range limit {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(connection, "POST /v1/jobs HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		held = append(held, connection)
	}
	// One more is turned away or waits for a place, which the read time-out of the others frees.
	for status := 0; status != http.StatusOK; {
		answer, err := http.Post("http://"+address+PathJobs, "application/json", strings.NewReader(body("", "")))
		if err != nil {
			continue
		}
		status = answer.StatusCode
		_ = answer.Body.Close()
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("got %d", status)
		}
	}
	for _, connection := range held {
		_ = connection.Close()
	}
}

func TestOtherPaths(t *testing.T) {
	address := serve(t, never)
	for _, test := range []struct {
		path   string
		status int
	}{
		{PathHealth, 200}, {PathReady, 503}, {PathVars, 200}, {"/", 404}, {PathJobs, 405}, {PathJobs + "/unknown", 404}, {PathJobs + "/a%20b", 400},
	} {
		answer, err := http.Get("http://" + address + test.path)
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != test.status {
			t.Errorf("%s: got %d, want %d", test.path, answer.StatusCode, test.status)
		}
	}
}
