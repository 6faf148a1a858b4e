package uwsgi

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"kiteslip/internal/core"
)

// AppendResponse appends the header of a response; the caller appends the body of size
// bytes. retryAfter is in seconds; 0 leaves out the header field.
func AppendResponse(b []byte, status, retryAfter, size int) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), size)
	if retryAfter > 0 {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", retryAfter)
	}
	return append(b, "\r\n"...)
}

// Status maps a final answer to an HTTP status and a retry-after in seconds. HTTP has
// whole seconds, so it is rounded up.
func Status(a *core.Answer) (status, retryAfter int) {
	switch {
	case a.Code == core.Served:
		return http.StatusOK, 0
	case a.Code == core.Refused:
		return http.StatusServiceUnavailable, int(max(1, (a.RetryAfter+999_999)/1_000_000))
	case a.Cause == core.DeadlineExceeded:
		return http.StatusGatewayTimeout, 0
	case a.Cause == core.RunFailed:
		return http.StatusBadGateway, 0
	}
	return http.StatusInternalServerError, 0
}

// Response is the HTTP response of a uwsgi server.
type Response struct {
	Status int
	Body   []byte // points into the input
}

const maxHeaderBytes = 16 << 10

var (
	errNotResponse       = errors.New("uwsgi: not a response")
	errTruncatedResponse = errors.New("uwsgi: the response is truncated")
	errTooLarge          = errors.New("uwsgi: the response is too large")
)

// ParseResponse parses the response in b, whose body is limited to maxBody bytes. It
// reports false while the response is not complete; end says that the input has ended.
func ParseResponse(b []byte, end bool, maxBody int) (Response, bool, error) {
	at := bytes.Index(b, []byte("\r\n\r\n"))
	if at < 0 {
		switch {
		case len(b) > maxHeaderBytes:
			return Response{}, false, errNotResponse
		case end:
			return Response{}, false, errTruncatedResponse
		}
		return Response{}, false, nil
	}
	r := Response{Status: http.StatusOK, Body: b[at+4:]}
	length := -1
	for i, line := range bytes.Split(b[:at], []byte("\r\n")) {
		if i == 0 && bytes.HasPrefix(line, []byte("HTTP/1.")) {
			words := bytes.Fields(line)
			if len(words) < 2 {
				return Response{}, false, errNotResponse
			}
			var err error
			if r.Status, err = strconv.Atoi(string(words[1])); err != nil {
				return Response{}, false, errNotResponse
			}
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return Response{}, false, errNotResponse
		}
		words := bytes.Fields(value)
		var err error
		switch {
		case len(words) == 0:
		case bytes.EqualFold(name, []byte("Status")):
			r.Status, err = strconv.Atoi(string(words[0]))
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(words[0])); length < 0 {
				err = errNotResponse
			}
		}
		if err != nil {
			return Response{}, false, errNotResponse
		}
	}
	switch {
	case length > maxBody || length < 0 && len(r.Body) > maxBody:
		return Response{}, false, errTooLarge
	case length >= 0 && len(r.Body) >= length:
		r.Body = r.Body[:length]
		return r, true, nil
	case length >= 0 && end:
		return Response{}, false, errTruncatedResponse
	case length < 0 && end:
		return r, true, nil
	}
	return Response{}, false, nil
}
