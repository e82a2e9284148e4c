package server

// Headers by which a caller stand-in states the work of a request.
const (
	// WorkMicros is the service time at full speed, in µs.
	WorkMicros = "Stand-Work-Micros"
	// Operation identifies the operation over all its submissions.
	Operation = "Stand-Operation"
	// AnswerBytes is the length of the answer's padding.
	AnswerBytes = "Stand-Answer-Bytes"
)
