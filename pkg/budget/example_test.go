package budget_test

import (
	"fmt"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/budget"
)

// A host that may probe a target twice in 10 s gets one token every 10 s. It can't send
// a probe at its start, nor a second one soon after the first.
func ExampleShare() {
	now := time.Unix(0, 0)
	share := budget.NewShare(2, 10*time.Second, now)
	fmt.Println(share.Spend(now))
	fmt.Println(share.Spend(now.Add(10 * time.Second)))
	fmt.Println(share.Spend(now.Add(11 * time.Second)))
	// Output:
	// false
	// true
	// false
}
