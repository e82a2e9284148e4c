package member_test

import (
	"fmt"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

// A member that is not heard of any more fails, and a restart brings it back.
func Example() {
	now := time.Unix(0, 0)
	table := member.New(member.Info{Name: "a", Incarnation: 1}, member.Timing{FailAfter: time.Second, RemoveAfter: time.Minute}, 1)
	table.Merge(now, []member.Info{{Name: "b", Incarnation: 1, Counter: 7}})
	now = now.Add(2 * time.Second)
	seen, _ := table.Lookup(now, "b")
	fmt.Println(seen.State)
	table.Merge(now, []member.Info{{Name: "b", Incarnation: 2, Counter: 0}})
	seen, _ = table.Lookup(now, "b")
	fmt.Println(seen.State)
	// Output:
	// Failed
	// Alive
}
