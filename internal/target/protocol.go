package target

import (
	"net/http"
	"strconv"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// loadPath is the URL path at which targets report their load.
const loadPath = "/load"

// NativeProtocol is the project's own protocol, whose headers are named Tiller-... It
// is specified in docs/TARGET.md.
type NativeProtocol struct{}

// SetHeaders implements Protocol.
func (NativeProtocol) SetHeaders(headers http.Header, request *Request) {
	remaining := max(time.Until(request.Deadline).Milliseconds(), 1)
	headers.Set(header.DeadlineMillis, strconv.FormatInt(remaining, 10))
}

// ParseResponse implements Protocol. The verdict is NotRun if the target states that it
// refused the work, MayHaveRun for other server errors, and otherwise Ran. Unless the
// work was refused, a response that ends by the close of the connection is an error,
// whose verdict is Ran.
func (NativeProtocol) ParseResponse(response *http.Response, _ *Request) (ResponseInfo, *fault.Error) {
	info := ResponseInfo{Report: parseReport(response.Header), Limit: limit.Parse(response.Header.Get(header.Limit)), Verdict: fault.Ran}
	if response.Header.Get(header.Refused) == fault.NotRun.String() {
		info.Verdict = fault.NotRun
		return info, nil
	}
	if response.StatusCode >= http.StatusInternalServerError {
		// The target does not state whether it ran the work, or a proxy answered for it.
		info.Verdict = fault.MayHaveRun
	}
	if EndsByClose(response) {
		return ResponseInfo{}, fault.New(fault.Ran, http.StatusBadGateway, "AnswerWithoutLength")
	}
	return info, nil
}

// ProbeRequest implements Protocol.
func (NativeProtocol) ProbeRequest(_, address, _ string) *Request {
	return &Request{Address: address, Method: http.MethodGet, URI: loadPath, Header: http.Header{}, NewConnection: true}
}

// EndsByClose reports whether the body has neither a length nor chunks, so that it
// ends when the connection is closed. If it is truncated, it still looks complete.
func EndsByClose(response *http.Response) bool {
	isBodiless := response.Request != nil && response.Request.Method == http.MethodHead
	return !isBodiless && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.ProtoMajor == 1
}

// parseReport reads the load from the header of an answer. It returns nil if a number
// is missing or invalid.
func parseReport(from http.Header) *choose.Report {
	running, err := strconv.Atoi(from.Get(header.Running))
	if err != nil || running < 0 {
		return nil
	}
	waiting, err := strconv.Atoi(from.Get(header.Waiting))
	if err != nil || waiting < 0 {
		return nil
	}
	return &choose.Report{Running: running, Waiting: waiting, Draining: from.Get(header.Draining) == "true"}
}
