package admin

import "net/http"

// ExplainQuery names a request that need not exist.
type ExplainQuery struct {
	// CallerHost is the host name that the caller asks for, and Path the path.
	CallerHost, Path string
	// Organisation is the name of the caller's organisation; empty if there is none.
	Organisation string
}

// Explanation says what the host would do with a request that arrived now.
type Explanation struct {
	Host string
	// Refusal is the reason if no service would get the request, such as NoRoute.
	Refusal string
	// Route is the name of the route. ObjectiveMillis and TimeLimitMillis are its latency
	// objective and its time limit in ms.
	Route                            string
	Idempotent                       bool
	Priority, OrganisationPriority   int
	ObjectiveMillis, TimeLimitMillis float64
	// ConfigurationAgeMillis is how old the host's configuration may be, in ms.
	ConfigurationAgeMillis float64
	// Services are those of the route. A request goes to one of them by their weights.
	Services []ServiceExplanation
}

// ServiceExplanation says what would happen to the request at a service. All times are in ms.
type ServiceExplanation struct {
	Service string
	Weight  float64
	// Target would get the request at once. Otherwise Refusal or WaitReason says why not.
	Target, Refusal, WaitReason string
	RetryAfterMillis            float64
	// Standing is that of the organisation: Owed service, Within or Beyond its share.
	Standing            string
	WaitingBefore       int
	QueueingDelayMillis float64
	WorkMillis          float64
	Targets             []TargetExplanation
}

// TargetExplanation is the estimate of a target for the request. All times are in ms.
type TargetExplanation struct {
	Name, FailureDomain string
	// PassedOver says why the target would not get the request; empty for the best one.
	PassedOver           string
	Occupied, Slots      int
	Slowdown             float64
	SlowdownAgeMillis    float64
	ReportAgeMillis      float64
	ExpectedMillis, Cost float64
}

func (s *Server) serveExplanation(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	writeJSON(w, s.handler.Explain(ExplainQuery{CallerHost: query.Get("host"), Path: query.Get("path"), Organisation: query.Get("organisation")}))
}
