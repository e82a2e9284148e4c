package ledger_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed, so that all CI runs test the same cases.
// The flag -rapid.seed tests others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}
