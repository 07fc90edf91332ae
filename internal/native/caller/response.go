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

// The statuses of a submission without a final answer.
const (
	statusRunning = "running"
	statusUnknown = "unknown"
)

// statusRejected is the status of a request that names no submission.
const statusRejected = "rejected"

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

// setRetryAfter sets the header, which has whole seconds, rounded up.
func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	seconds := max(1, int(math.Ceil(after.Seconds())))
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}

// results returns the tasks' results as JSON. A result that is not JSON becomes a JSON string.
func results(raw [][]byte) []json.RawMessage {
	messages := make([]json.RawMessage, len(raw))
	for i, each := range raw {
		if json.Valid(each) {
			messages[i] = each
			continue
		}
		// A string can always be encoded: bytes that are not UTF-8 are replaced.
		text, _ := json.Marshal(string(each))
		messages[i] = text
	}
	return messages
}

// writeBody writes the status and the JSON body of an answer.
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
