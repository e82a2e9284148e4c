package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FieldError is the error for an INI text that is refused because of one value.
type FieldError struct {
	// File is the name of the text, usually its path.
	File string
	// Section is the INI section, or empty for keys above the first section. Section and
	// Key are both empty if the error concerns the whole text.
	Section string
	Key     string
	// Value is the refused value. For an error of the whole text it is the size of the text or
	// the message of the parser.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error returns the message for operators.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// Field describes one key of an INI text, for ParseFields and for the reference page of the settings.
type Field struct {
	Section, Key string
	// Unit is the unit of the value, or empty.
	Unit string
	// Default is the value of an absent key. A key without a default is required if Set
	// refuses the empty value.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	// About describes the key on the reference page.
	About string
	// Set parses and stores a value. It returns false if the value is not allowed.
	Set func(value string) bool
}

// Int returns a Field.Set that stores an integer from low to high.
func Int(dst *int, low, high int) func(string) bool {
	return func(value string) bool {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return false
		}
		*dst = n
		return true
	}
}

// Millis returns a Field.Set that stores a duration from low to high. The value is an
// integer number of milliseconds.
func Millis(dst *time.Duration, low, high time.Duration) func(string) bool {
	return func(value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < low.Milliseconds() || n > high.Milliseconds() {
			return false
		}
		*dst = time.Duration(n) * time.Millisecond
		return true
	}
}

// Float returns a Field.Set that stores a number from low to high, and refuses NaN.
func Float(dst *float64, low, high float64) func(string) bool {
	return func(value string) bool {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || !(f >= low && f <= high) {
			return false
		}
		*dst = f
		return true
	}
}

// Choice returns a Field.Set that stores one of the given values.
func Choice(dst *string, allowed ...string) func(string) bool {
	return func(value string) bool {
		for _, choice := range allowed {
			if value == choice {
				*dst = value
				return true
			}
		}
		return false
	}
}

// Name returns a Field.Set that stores a name for which IsName is true.
func Name(dst *string) func(string) bool {
	return func(value string) bool {
		if !IsName(value) {
			return false
		}
		*dst = value
		return true
	}
}

const maxNameBytes = 64

// IsName reports whether value is allowed as the name of a service, a host or a
// failure domain. A name has at most 64 ASCII letters, digits, '-' and '_' and begins
// with a letter or digit.
func IsName(value string) bool {
	if value == "" || len(value) > maxNameBytes || strings.ContainsRune("-_", rune(value[0])) {
		return false
	}
	for _, r := range value {
		isLetter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
