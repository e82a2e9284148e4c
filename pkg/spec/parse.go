package spec

import (
	"gopkg.in/ini.v1"
)

// ParseFields parses an INI text and calls Set of every field, with the default if the
// text lacks the key. It refuses unknown keys, also those of unknown sections, and keys
// that occur with different values. Errors are of type *FieldError. After an error, some
// of the fields may have been set.
func ParseFields(file string, text []byte, fields []Field) error {
	loaded, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, text)
	if err != nil {
		return &FieldError{File: file, Value: err.Error(), Allowed: "an INI text"}
	}
	if err := rejectUnknownKeys(file, loaded, fields); err != nil {
		return err
	}
	for _, field := range fields {
		if err := setField(file, loaded, field); err != nil {
			return err
		}
	}
	return nil
}

func setField(file string, loaded *ini.File, field Field) error {
	value := field.Default
	section := loaded.Section(field.Section)
	if section.HasKey(field.Key) {
		value = section.Key(field.Key).String()
	}
	if !field.Set(value) {
		return &FieldError{File: file, Section: field.Section, Key: field.Key, Value: value, Allowed: field.Allowed}
	}
	return nil
}

func rejectUnknownKeys(file string, loaded *ini.File, fields []Field) error {
	for _, section := range loaded.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			name = ""
		}
		for _, key := range section.Keys() {
			if !isKnown(fields, name, key.Name()) {
				return &FieldError{File: file, Section: name, Key: key.Name(), Value: key.String(), Allowed: "only the keys listed in docs/SETTINGS.md"}
			}
			if len(key.ValueWithShadows()) > 1 {
				return &FieldError{File: file, Section: name, Key: key.Name(), Value: key.String(), Allowed: "one value for the key, which occurs more than once"}
			}
		}
	}
	return nil
}

func isKnown(fields []Field, section, key string) bool {
	for _, field := range fields {
		if field.Section == section && field.Key == key {
			return true
		}
	}
	return false
}
