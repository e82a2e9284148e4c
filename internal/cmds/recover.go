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

const recoverTimeout = 15 * time.Second

func recoverCommand() *command {
	p := &publisher{}
	return &command{
		name:   "recover",
		about:  "Declares the documents in force after the log lost records that no host has read.",
		detail: "To be used only while every host says DocumentsUnknown. Appends an index of the newest versions that any host knows; services without a known version have to be published again with base 0. Refused with exit code 3 if a host knows the documents.",
		flags: []flag{
			textFlag("author", &p.author, os.Getenv("USER"), "who recovers, for the record"),
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
	newest := make(map[string]uint64)
	answers := fetchAll[admin.Documents](ctx, addresses, "/tiller/documents")
	for i := range answers {
		if answers[i].answer.Ready {
			fmt.Fprintf(p.err, "refused: host %s knows the documents in force; the others learn them from it\n", answers[i].answer.Host)
			return ExitRefused
		}
		for _, known := range answers[i].answer.Known {
			newest[known.Service] = max(newest[known.Service], known.Version)
		}
	}
	return p.appendIndex(ctx, newest)
}

func (p *publisher) appendIndex(ctx context.Context, newest map[string]uint64) int {
	client := plat.NewClient(p.platform, new(atomic.Int64))
	defer client.Close()
	reply, err := client.Read(ctx, plat.StreamDocuments, 1, 0)
	if err != nil {
		return p.fail(err)
	}
	record := ledger.Record{Kind: ledger.KindIndex, ID: rand.Text(), Author: p.author, Through: reply.Next - 1}
	for service, version := range newest {
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
	fmt.Fprintf(p.out, "recovered: offset %d declares %d documents in force\n", offset, len(record.InForce))
	return ExitDone
}
