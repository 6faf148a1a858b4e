package frame

import (
	"strconv"

	"kiteslip/internal/core"
)

// EncodeAnswer returns the code, the fields and the body of a final answer's frame.
func EncodeAnswer(a *core.Answer) (code byte, fields []Field, body []byte) {
	switch {
	case a.Code == core.Refused:
		if a.RetryAfter > 0 {
			fields = append(fields, Field{"holdoff", strconv.FormatInt((a.RetryAfter+999)/1000, 10)})
		}
		if a.NoFailover {
			fields = append(fields, Field{"nomore", "1"})
		}
		return Refused, fields, nil
	case a.Code == core.Served && len(a.Result) <= MaxResult:
		return Served, nil, a.Result
	}
	if a.Code == core.Failed && a.Cause == core.OutcomeUnknown {
		return Failed, nil, []byte(core.OutcomeUnknownText)
	}
	return Failed, nil, nil // also a result that is too large for a frame
}
