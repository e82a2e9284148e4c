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
	pollInterval       = 100 * time.Millisecond
	outcomeReadTimeout = time.Second
	hostColumns        = "%-16s %-10s %s\n"
)

// publisher is one run of the publish command.
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
		about:  "Publishes a new version of a service's document.",
		detail: "Waits until the proposal is accepted or refused, then until it is in force on every living entry host.\nExit codes: 0 in force everywhere, 2 invalid document, 3 refused because another version is in force, 4 outcome unknown, 5 accepted but not in force everywhere in time.",
		flags: []flag{
			textFlag("base", &p.base, "", "version that the new text was made from, as printed by show; 0 for a new service (required)"),
			textFlag("author", &p.author, os.Getenv("USER"), "who publishes, as named to a refused operator"),
			textFlag("platform", &p.platform, "", "address of the platform (required)"),
			adminFlag(&p.admins),
			textFlag("wait-millis", &p.waitMillis, "15000", "how long to wait for the outcome, in ms"),
		},
		positionals: []positional{{name: "document", about: "INI file with the document", value: &p.path}},
		run: func(s streams) int {
			p.streams = s
			return p.run()
		},
	}
}

func (p *publisher) run() int {
	text, err := os.ReadFile(p.path)
	if err != nil {
		return p.fail(eris.Wrapf(err, "reading %s", p.path))
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

func (p *publisher) propose(ctx context.Context, record *ledger.Record) int {
	client := plat.NewClient(p.platform, new(atomic.Int64))
	defer client.Close()
	reader, err := p.newReader(ctx)
	if err != nil {
		return p.fail(err)
	}
	outcome, err := submitProposal(ctx, client, reader, record)
	if err != nil {
		fmt.Fprintf(p.err, "error: the outcome is unknown: %v\nThe proposal has ID %s; publishing it again is safe, since only one can be accepted for base %d.\n", err, record.ID, record.Base)
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

// newReader returns a reader that knows what the best informed host knows.
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

// loadDocuments teaches a reader what hosts claim.
func loadDocuments(reader *ledger.Reader, hosts []hostAnswer[admin.Documents]) {
	for i := range hosts {
		answer := &hosts[i].answer
		if hosts[i].err != nil || !answer.Ready {
			continue
		}
		claim := ledger.Snapshot{Through: answer.Through}
		for _, known := range answer.Known {
			claim.InForce = append(claim.InForce, ledger.Version{Service: known.Service, Version: known.Version})
		}
		reader.ApplySnapshot(claim)
		for _, known := range answer.Known {
			version := ledger.Version{Service: known.Service, Version: known.Version}
			reader.AddText(ledger.Document{Version: version, Text: known.Text, Author: known.Author})
		}
	}
}

// submitProposal appends a proposal and reads the log until its outcome is
// known. A lost reply is settled by reading back; the record is appended again
// only if it did not show up, and its base lets only one of the copies be accepted.
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

// findOutcome reads the log for a while, looking for a proposal.
func findOutcome(ctx context.Context, client *plat.Client, reader *ledger.Reader, id string) (*ledger.Outcome, error) {
	until := time.Now().Add(outcomeReadTimeout)
	for {
		reply, err := client.Read(ctx, plat.StreamDocuments, reader.Next(), pollInterval)
		if err != nil {
			return nil, err
		}
		reader.SkipTo(reply.First)
		if outcome := applyRecords(reader, reply.Records, id); outcome != nil {
			return outcome, nil
		}
		if time.Now().After(until) {
			return nil, nil
		}
	}
}

func applyRecords(reader *ledger.Reader, records []plat.Record, id string) *ledger.Outcome {
	var found *ledger.Outcome
	for i := range records {
		decoded, err := ledger.DecodeRecord(records[i].Body)
		if err != nil {
			decoded = ledger.Record{}
		}
		for _, outcome := range reader.Apply(records[i].Offset, &decoded) {
			if outcome.ID == id && found == nil {
				found = &outcome
			}
		}
	}
	return found
}

// waitInForce waits until every living host serves by the version or a newer one.
func (p *publisher) waitInForce(ctx context.Context, outcome *ledger.Outcome) int {
	for {
		hosts := p.hostVersions(ctx, outcome.Service)
		isEverywhere := len(hosts) > 0
		for _, h := range hosts {
			isEverywhere = isEverywhere && h.version >= outcome.Offset
		}
		if isEverywhere || ctx.Err() != nil {
			p.printHosts(hosts, outcome.Offset)
			if isEverywhere {
				return ExitDone
			}
			return ExitNotInForce
		}
		time.Sleep(pollInterval)
	}
}

// hostVersion is the version that a host serves by.
type hostVersion struct {
	host    string
	version uint64
	err     error
}

func (p *publisher) hostVersions(ctx context.Context, service string) []hostVersion {
	addresses, _, err := discover(ctx, splitList(p.admins))
	if err != nil {
		return nil
	}
	var versions []hostVersion
	answers := fetchAll[admin.Documents](ctx, addresses, "/tiller/documents")
	for i := range answers {
		v := hostVersion{host: answers[i].address, err: answers[i].err}
		for _, known := range answers[i].answer.Known {
			v.host = answers[i].answer.Host
			if known.Service == service && known.InForce {
				v.version = known.Version
			}
		}
		versions = append(versions, v)
	}
	return versions
}

func (p *publisher) printHosts(hosts []hostVersion, wanted uint64) {
	fmt.Fprintf(p.out, hostColumns, "Host", "Version", "State")
	for _, h := range hosts {
		state := "InForce"
		if h.version < wanted {
			state = "Older"
		}
		if h.err != nil {
			state = "Unreachable: " + h.err.Error()
		}
		fmt.Fprintf(p.out, hostColumns, h.host, strconv.FormatUint(h.version, 10), state)
	}
}
