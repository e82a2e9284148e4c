package server

// Headers by which a caller stand-in states the work of a request.
const (
	// WorkMicros is the service time at full speed, in µs.
	WorkMicros = "Stand-Work-Micros"
	// Operation identifies the operation over all its submissions.
	Operation = "Stand-Operation"
	// AnswerBytes is the length of the answer's padding.
	AnswerBytes = "Stand-Answer-Bytes"
	// Chain is how many further calls the target makes through the system before it answers, one inside the other.
	Chain = "Stand-Chain"
	// ChainURL is where those calls go.
	ChainURL = "Stand-Chain-Url"
)
