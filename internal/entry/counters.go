package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// counters are metrics of the host that are not kept in serviceMetrics.
type counters struct {
	// heartbeatsSent and heartbeatsFailed count exchanges of tables, without the
	// heartbeats that only send rows or test a connection.
	heartbeatsSent   *metrics.Counter
	heartbeatsFailed *metrics.Counter
	recordsRead      *metrics.Counter
	recordsMalformed *metrics.Counter
	recordsAppended  *metrics.Counter
	// hostRowsMalformed counts the malformed rows of the host list and, with a store, the
	// malformed records of targets.
	hostRowsMalformed *metrics.Counter
	// readErrors counts the failed reads of the document log or the store.
	readErrors *metrics.Counter
	// eras counts the times that a topic was read again because the store came back from an
	// older copy.
	eras     *metrics.Counter
	probes   *metrics.Counter
	forwards *metrics.Counter
	replays  *metrics.Counter
	// addedLatency is the latency of an answered request minus that of the attempt that won, in seconds.
	addedLatency *metrics.Histogram
	beaconsSent  *metrics.Counter
	set          *metrics.Set
}

// countStoreCall counts a call to the store by topic and outcome.
func (c *counters) countStoreCall(topic string, err error) {
	outcome := "Answered"
	if err != nil {
		outcome = "Failed"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("curranttiller_store_calls_total{topic=%q,outcome=%q}", topic, outcome)).Inc()
}

// countFailedRequest counts a request that is answered with an error of this host, by
// service, reason and verdict. curranttiller_faults_total counts the same requests
// without the service.
func (c *counters) countFailedRequest(service string, failed *fault.Error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("curranttiller_requests_failed_total{service=%q,reason=%q,verdict=%q}", service, failed.Reason, failed.Verdict.String())).Inc()
}

// countRefusedKey counts a request that is refused for its key, by reason.
func (c *counters) countRefusedKey(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("curranttiller_keys_refused_total{reason=%q}", reason)).Inc()
}

func newCounters(set *metrics.Set) counters {
	return counters{
		heartbeatsSent:    set.NewCounter("curranttiller_heartbeats_sent_total"),
		heartbeatsFailed:  set.NewCounter("curranttiller_heartbeats_failed_total"),
		recordsRead:       set.NewCounter("curranttiller_log_records_read_total"),
		recordsMalformed:  set.NewCounter("curranttiller_log_records_malformed_total"),
		recordsAppended:   set.NewCounter("curranttiller_log_records_appended_total"),
		hostRowsMalformed: set.NewCounter("curranttiller_host_rows_malformed_total"),
		readErrors:        set.NewCounter("curranttiller_log_errors_total"),
		eras:              set.NewCounter("curranttiller_store_eras_total"),
		probes:            set.NewCounter("curranttiller_probes_total"),
		forwards:          set.NewCounter("curranttiller_forwards_total"),
		replays:           set.NewCounter("curranttiller_answers_replayed_total"),
		addedLatency:      set.NewHistogram("curranttiller_added_latency_seconds"),
		beaconsSent:       set.NewCounter("curranttiller_beacons_sent_total"),
		set:               set,
	}
}
