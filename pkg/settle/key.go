package settle

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxKeyBytes bounds the text of a key.
const MaxKeyBytes = 256

// Token is the part of a key that the directory hands out.
type Token struct {
	// Host and Incarnation name the home.
	Host        string
	Incarnation uint64
	// Counter is the heartbeat counter of the home when the token was drawn.
	Counter uint64
}

// String returns the form that keys begin with.
func (t Token) String() string {
	return fmt.Sprintf("%s.%x.%d", t.Host, t.Incarnation, t.Counter)
}

// Key is a token with a part that is unique to one request.
type Key struct {
	Token
	// Unique is drawn by the caller.
	Unique string
}

// String returns the value of the Idempotency-Key header.
func (k Key) String() string {
	return k.Token.String() + "." + k.Unique
}

// ParseKey reads the value of an Idempotency-Key header.
func ParseKey(text string) (Key, bool) {
	if len(text) > MaxKeyBytes {
		return Key{}, false
	}
	const parts = 4
	words := strings.SplitN(text, ".", parts)
	if len(words) != parts || words[0] == "" || words[3] == "" {
		return Key{}, false
	}
	incarnation, err := strconv.ParseUint(words[1], 16, 64)
	if err != nil {
		return Key{}, false
	}
	counter, err := strconv.ParseUint(words[2], 10, 64)
	if err != nil {
		return Key{}, false
	}
	return Key{Token: Token{Host: words[0], Incarnation: incarnation, Counter: counter}, Unique: words[3]}, true
}
