package cmds

import (
	"bytes"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

func checkCommand() *command {
	var path string
	return &command{
		name:        "check",
		about:       "Checks a file of settings or a document.",
		detail:      "A file with a [Service] section is a document. A refused value is named with file, section, key, the value seen and what is allowed; the exit code is then 2.",
		positionals: []positional{{name: "file", about: "INI file with settings or a document", value: &path}},
		run: func(s streams) int {
			kind, err := checkFile(path)
			if err != nil {
				return s.fail(err)
			}
			fmt.Fprintf(s.out, "%s: good %s\n", path, kind)
			return ExitDone
		},
	}
}

func checkFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrapf(err, "reading %s", path)
	}
	if bytes.Contains(text, []byte("[Service]")) {
		_, err := spec.Parse(path, text)
		return "document", err
	}
	_, err = config.Parse(path, text)
	return "settings", err
}
