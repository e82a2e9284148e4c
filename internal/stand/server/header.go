package server

// Headers by which a caller stand-in states the work of a request.
const (
	// WorkMicrosHeader is the service time at full speed, in µs.
	WorkMicrosHeader = "Stand-Work-Micros"
	// OperationHeader identifies the operation over all its submissions.
	OperationHeader = "Stand-Operation"
	// PaddingBytesHeader is the length of the answer's padding.
	PaddingBytesHeader = "Stand-Answer-Bytes"
	// ChainHeader is how many further calls the target makes through the system before it answers, one inside the other.
	ChainHeader = "Stand-Chain"
	// ChainURLHeader is where those calls go.
	ChainURLHeader = "Stand-Chain-Url"
)
