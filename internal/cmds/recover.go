package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

// recoverTimeout is the time limit of the whole command.
const recoverTimeout = 15 * time.Second

func recoverCommand() *command {
	p := &publisher{}
	return &command{
		name:   "recover",
		about:  "Puts documents in force again after the platform's log lost records before the entry hosts read them.",
		detail: "Use it only while every entry host refuses requests with the reason DocumentsUnknown. The command appends a record to the log that puts documents in force, each in the newest version that any entry host still has. If no host has a document of a service, publish the document again with base 0. The command is refused with exit code 3 if an entry host that answers still has the documents in force.",
		flags: []flag{
			textFlag("author", &p.author, os.Getenv("USER"), "name of the operator, stored in the record that the command appends"),
			textFlag("platform", &p.platform, "", "address of the platform (required)"),
			adminFlag(&p.admins),
		},
		run: func(s streams) int {
			p.streams = s
			ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
			defer cancel()
			return p.recover(ctx)
		},
	}
}

func (p *publisher) recover(ctx context.Context) int {
	addresses, _, err := discover(ctx, splitList(p.admins))
	if err != nil {
		return p.fail(err)
	}
	newestVersions := make(map[string]uint64)
	answers := fetchAll[admin.Documents](ctx, addresses, "/tiller/documents")
	for i := range answers {
		if answers[i].answer.Ready {
			fmt.Fprintf(p.err, "refused: entry host %s has the documents in force; the other entry hosts get them from it\n", answers[i].answer.Host)
			return ExitRefused
		}
		for _, document := range answers[i].answer.Known {
			newestVersions[document.Service] = max(newestVersions[document.Service], document.Version)
		}
	}
	return p.appendIndex(ctx, newestVersions)
}

// appendIndex appends a record that puts one version of each service in force, and
// returns the exit code. newestVersions has the name of the service as key.
func (p *publisher) appendIndex(ctx context.Context, newestVersions map[string]uint64) int {
	client := plat.NewClient(p.platform, new(atomic.Int64))
	defer client.Close()
	// Next in the reply is the offset after the last record. The index replaces all records
	// up to there, so that entry hosts need not read those that are lost.
	reply, err := client.Read(ctx, plat.StreamDocuments, 1, 0)
	if err != nil {
		return p.fail(err)
	}
	record := ledger.Record{Kind: ledger.KindIndex, ID: rand.Text(), Author: p.author, Through: reply.Next - 1}
	for service, version := range newestVersions {
		record.InForce = append(record.InForce, ledger.Version{Service: service, Version: version})
	}
	encoded, err := record.Encode()
	if err != nil {
		return p.fail(err)
	}
	offset, err := client.Append(ctx, plat.StreamDocuments, encoded)
	if err != nil {
		return p.fail(err)
	}
	fmt.Fprintf(p.out, "recovered: the index at offset %d of the log puts %d documents in force\n", offset, len(record.InForce))
	return ExitDone
}
