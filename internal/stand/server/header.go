package server

// Request headers by which simulated callers control how a target processes a request.
const (
	// WorkMicrosHeader is the service time in µs at the full speed of the target.
	WorkMicrosHeader = "Stand-Work-Micros"
	// OperationHeader identifies an operation. Every submission of the same operation carries the same value.
	OperationHeader = "Stand-Operation"
	// PaddingBytesHeader is the number of bytes that follow the JSON in the response body.
	PaddingBytesHeader = "Stand-Answer-Bytes"
	// ChainHeader is the number of nested calls that are still to be made. If it is above
	// zero, the target makes the next call through an entry host before it answers, and
	// sends the number reduced by one with it.
	ChainHeader = "Stand-Chain"
	// ChainURLHeader is the URL at an entry host to which every nested call is sent.
	ChainURLHeader = "Stand-Chain-Url"
)
