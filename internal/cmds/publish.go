package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const (
	// pollInterval is the time between two checks of the entry hosts, and the time limit
	// of one wait for new records of the log.
	pollInterval = 100 * time.Millisecond
	// outcomeReadTimeout is how long the log is read for the outcome of a proposal before
	// the proposal is appended again. It is appended again earlier if a read fails.
	outcomeReadTimeout = time.Second
	// hostRowFormat is the format of a row in the table of the entry hosts.
	hostRowFormat = "%-16s %-10s %s\n"
)

// publisher holds the arguments of one run of the command publish or recover.
type publisher struct {
	streams

	path       string
	base       string
	author     string
	platform   string
	admins     string
	waitMillis string
}

func publishCommand() *command {
	p := &publisher{}
	return &command{
		name:   "publish",
		about:  "Publishes a new version of the document that configures a service.",
		detail: "Appends the document to the platform's log as a proposal and waits until the proposal is accepted or refused, and then until the new version is in force on every entry host that is alive or leaving.\nExit codes: 0 in force everywhere, 1 failed before the proposal was appended, 2 invalid document or argument, 3 refused because another version is in force, 4 outcome unknown, 5 accepted but not in force everywhere within the time limit.",
		flags: []flag{
			textFlag("base", &p.base, "", "version that the document was edited from, as printed by show; 0 for a new service (required)"),
			textFlag("author", &p.author, os.Getenv("USER"), "name of the operator, shown to operators whose proposals are refused because of this one"),
			textFlag("platform", &p.platform, "", "address of the platform (required)"),
			adminFlag(&p.admins),
			textFlag("wait-millis", &p.waitMillis, "15000", "time limit of the whole command, in ms"),
		},
		positionals: []positional{{name: "document", about: "INI file with the document; see docs/SETTINGS.md", value: &p.path}},
		run: func(s streams) int {
			p.streams = s
			return p.run()
		},
	}
}

// run publishes the document in the file and returns the exit code.
func (p *publisher) run() int {
	text, err := os.ReadFile(p.path)
	if err != nil {
		return p.fail(eris.Wrapf(err, "reading the document file %q", p.path))
	}
	document, err := spec.Parse(p.path, text)
	if err != nil {
		return p.fail(err)
	}
	base, err := strconv.ParseUint(p.base, 10, 64)
	if err != nil {
		fmt.Fprintf(p.err, "error: --base %q: allowed: a version as printed by show, or 0\n", p.base)
		return ExitBadInput
	}
	wait, err := strconv.Atoi(p.waitMillis)
	if err != nil || wait <= 0 {
		fmt.Fprintf(p.err, "error: --wait-millis %q: allowed: a whole number above 0\n", p.waitMillis)
		return ExitBadInput
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	record := &ledger.Record{
		Kind: ledger.KindProposal, ID: rand.Text(), Author: p.author,
		Service: document.Service, Base: base, Text: string(text),
	}
	return p.propose(ctx, record)
}

// propose submits a proposal, waits until its version is in force, and returns the exit code.
func (p *publisher) propose(ctx context.Context, record *ledger.Record) int {
	client := plat.NewClient(p.platform, new(atomic.Int64))
	defer client.Close()
	reader, err := p.newReader(ctx)
	if err != nil {
		return p.fail(err)
	}
	outcome, err := submitProposal(ctx, client, reader, record)
	if err != nil {
		fmt.Fprintf(p.err, "error: it is unknown whether the proposal for service %s was accepted: %v\nThe proposal has the ID %s. It is safe to publish the document again, because only one proposal with base %d can be accepted.\n", record.Service, err, record.ID, record.Base)
		return ExitOutcomeUnknown
	}
	if !outcome.Accepted {
		fmt.Fprintf(p.err, "refused: %s: version %d of %s, published by %q, is in force; the proposal was based on %d\n",
			outcome.Reason, outcome.InForce, outcome.Service, outcome.InForceAuthor, outcome.Base)
		return ExitRefused
	}
	fmt.Fprintf(p.out, "accepted: %s version %d\n", outcome.Service, outcome.Offset)
	return p.waitInForce(ctx, outcome)
}

// newReader returns a reader of the log that continues from the newest state of any entry
// host, so that the log need not be read from its first record.
func (p *publisher) newReader(ctx context.Context) (*ledger.Reader, error) {
	addresses, _, err := discover(ctx, splitList(p.admins))
	if err != nil {
		return nil, err
	}
	reader := ledger.New(func(text string) (string, error) {
		document, err := spec.Parse("document", []byte(text))
		return document.Service, err
	})
	loadDocuments(reader, fetchAll[admin.Documents](ctx, addresses, "/tiller/documents"))
	return reader, nil
}

// loadDocuments applies the documents in the answers of entry hosts to a reader. It skips
// hosts that are not ready, because these may lack documents.
func loadDocuments(reader *ledger.Reader, hosts []hostAnswer[admin.Documents]) {
	for i := range hosts {
		answer := &hosts[i].answer
		if hosts[i].err != nil || !answer.Ready {
			continue
		}
		snapshot := ledger.Snapshot{Through: answer.Through}
		for _, document := range answer.Known {
			snapshot.InForce = append(snapshot.InForce, ledger.Version{Service: document.Service, Version: document.Version})
		}
		reader.ApplySnapshot(snapshot)
		for _, document := range answer.Known {
			version := ledger.Version{Service: document.Service, Version: document.Version}
			reader.AddText(ledger.Document{Version: version, Text: document.Text, Author: document.Author})
		}
	}
}

// submitProposal appends a proposal to the log and reads the log until it finds the
// outcome. It reads even if the append failed, because the record may be on the log
// nevertheless. If it doesn't find the outcome, it appends the record again. Of several
// copies at most one can be accepted, because they have the same base. It returns an error
// only if ctx is done or the record can't be encoded.
func submitProposal(ctx context.Context, client *plat.Client, reader *ledger.Reader, record *ledger.Record) (*ledger.Outcome, error) {
	encoded, err := record.Encode()
	if err != nil {
		return nil, err
	}
	for {
		_, appendErr := client.Append(ctx, plat.StreamDocuments, encoded)
		outcome, err := findOutcome(ctx, client, reader, record.ID)
		if outcome != nil {
			return outcome, nil
		}
		if ctx.Err() != nil {
			return nil, firstError(err, appendErr, ctx.Err())
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// findOutcome reads the log until it finds the outcome of the proposal with the ID. The
// outcome is nil if it isn't found within outcomeReadTimeout.
func findOutcome(ctx context.Context, client *plat.Client, reader *ledger.Reader, id string) (*ledger.Outcome, error) {
	deadline := time.Now().Add(outcomeReadTimeout)
	for {
		reply, err := client.Read(ctx, plat.StreamDocuments, reader.Next(), pollInterval)
		if err != nil {
			return nil, err
		}
		// The log no longer stores the records before the offset First.
		reader.SkipTo(reply.First)
		if outcome := applyRecords(reader, reply.Records, id); outcome != nil {
			return outcome, nil
		}
		if time.Now().After(deadline) {
			return nil, nil
		}
	}
}

// applyRecords applies records of the log to a reader and returns the first outcome of the
// proposal with the ID, or nil.
func applyRecords(reader *ledger.Reader, records []plat.Record, id string) *ledger.Outcome {
	var result *ledger.Outcome
	for i := range records {
		decoded, err := ledger.DecodeRecord(records[i].Body)
		if err != nil {
			// A malformed record has no effect, but the reader must go on to the next offset.
			decoded = ledger.Record{}
		}
		for _, outcome := range reader.Apply(records[i].Offset, &decoded) {
			if outcome.ID == id && result == nil {
				result = &outcome
			}
		}
	}
	return result
}

// waitInForce waits until every entry host that is alive or leaving applies the version of
// the outcome or a newer one, or until ctx is done. It prints the versions that it got last
// and returns the exit code. After the time limit, hosts may be missing there or be given
// as unreachable, because the requests to them end with ctx.
func (p *publisher) waitInForce(ctx context.Context, outcome *ledger.Outcome) int {
	for {
		hosts := p.hostVersions(ctx, outcome.Service)
		inForceEverywhere := len(hosts) > 0
		for _, h := range hosts {
			inForceEverywhere = inForceEverywhere && h.version >= outcome.Offset
		}
		if inForceEverywhere || ctx.Err() != nil {
			p.printHosts(hosts, outcome.Offset)
			if inForceEverywhere {
				return ExitDone
			}
			return ExitNotInForce
		}
		time.Sleep(pollInterval)
	}
}

// hostVersion is the version of a document that an entry host applies, or the error of the
// request to the host.
type hostVersion struct {
	// host is the name of the host, or its admin address if it sent no documents.
	host string
	// version is zero if the host applies no version.
	version uint64
	err     error
}

// hostVersions requests the version of a service's document from each entry host. It
// returns none if no host answers.
func (p *publisher) hostVersions(ctx context.Context, service string) []hostVersion {
	addresses, _, err := discover(ctx, splitList(p.admins))
	if err != nil {
		return nil
	}
	var versions []hostVersion
	answers := fetchAll[admin.Documents](ctx, addresses, "/tiller/documents")
	for i := range answers {
		v := hostVersion{host: answers[i].address, err: answers[i].err}
		for _, document := range answers[i].answer.Known {
			v.host = answers[i].answer.Host
			if document.Service == service && document.InForce {
				v.version = document.Version
			}
		}
		versions = append(versions, v)
	}
	return versions
}

// printHosts prints a table of the hosts and marks versions below minVersion as older.
func (p *publisher) printHosts(hosts []hostVersion, minVersion uint64) {
	fmt.Fprintf(p.out, hostRowFormat, "Host", "Version", "State")
	for _, h := range hosts {
		state := "InForce"
		if h.version < minVersion {
			state = "Older"
		}
		if h.err != nil {
			state = "Unreachable: " + h.err.Error()
		}
		fmt.Fprintf(p.out, hostRowFormat, h.host, strconv.FormatUint(h.version, 10), state)
	}
}
