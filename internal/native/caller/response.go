// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sailhead/internal/native/model"
)

// response is the body of every answer.
type response struct {
	Submission   string            `json:"submission,omitempty"`
	Status       string            `json:"status"`
	Results      []json.RawMessage `json:"results,omitempty"`
	Reason       string            `json:"reason,omitempty"`
	Field        string            `json:"field,omitempty"`
	MayHaveRun   *bool             `json:"may_have_run,omitempty"`
	Repeatable   *bool             `json:"repeatable,omitempty"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
}

// The states of a submission that has no final answer.
const (
	statusRunning = "running"
	statusUnknown = "unknown"
)

// writeAnswer writes the final answer to a submission.
func writeAnswer(ctx *fasthttp.RequestCtx, key model.Key, answer model.Answer, repeatable bool) {
	body := response{Submission: string(key), Status: model.Status(answer)}
	status := fasthttp.StatusInternalServerError
	switch a := answer.(type) {
	case model.Complete:
		status = fasthttp.StatusOK
		body.Results = results(a.Results)
	case model.NotRun:
		status = fasthttp.StatusServiceUnavailable
		if a.OverQuota {
			status = fasthttp.StatusTooManyRequests
		}
		body.Reason = a.Reason
		body.RetryAfterMs = a.RetryAfter.Milliseconds()
		setRetryAfter(ctx, a.RetryAfter)
	case model.Failed:
		status = fasthttp.StatusBadGateway
		if a.TimedOut {
			status = fasthttp.StatusGatewayTimeout
		}
		body.Reason = a.Reason
		body.MayHaveRun = &a.MayHaveRun
		body.Repeatable = &repeatable
	case model.Rejected:
		status = fasthttp.StatusBadRequest
		body.Field = a.Field
		body.Reason = a.Reason
	}
	writeBody(ctx, status, body)
}

// setRetryAfter rounds up to the whole seconds that the header knows.
func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	seconds := max(1, int(math.Ceil(after.Seconds())))
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}

// results returns the tasks' results; one that is not JSON becomes a JSON text.
func results(raw [][]byte) []json.RawMessage {
	messages := make([]json.RawMessage, len(raw))
	for i, each := range raw {
		if json.Valid(each) {
			messages[i] = each
			continue
		}
		text, _ := json.Marshal(string(each))
		messages[i] = text
	}
	return messages
}

func writeBody(ctx *fasthttp.RequestCtx, status int, body response) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error("unable to write the answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
