package ledger_test

import (
	"fmt"

	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

// Two operators propose a text with the same base. The proposal with the lower offset is accepted.
func Example() {
	reader := ledger.New(func(string) (string, error) { return "reservas", nil })
	for i, author := range []string{"ana", "rui"} {
		record := &ledger.Record{Kind: ledger.KindProposal, Author: author, Service: "reservas", Text: "text of " + author}
		for _, outcome := range reader.Apply(uint64(i+1), record) {
			fmt.Printf("%s: accepted %v, in force %d\n", outcome.Author, outcome.Accepted, outcome.InForce)
		}
	}
	document, _ := reader.Document("reservas")
	fmt.Println("in force:", document.Text)
	// Output:
	// ana: accepted true, in force 1
	// rui: accepted false, in force 1
	// in force: text of ana
}
