package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

const configUsage = `
The configuration is a set of entries by key: "limits", "placement", "team/NAME" and "policy/NAME". Each has a revision.
"put" names the revision that it replaces, and is refused if somebody else changed the entry first. Without --revision
it creates an entry. An accepted change is in force on every entry and agent within seconds, and never reverts.

Examples:

  yarrowgrade config get
  yarrowgrade config get team/plates
  yarrowgrade config put team/plates plates.json --revision 12
  yarrowgrade config put placement - <<< '{"profile":"fragmentation"}'
  yarrowgrade config history team/plates
`

type configCommands struct {
	Get     configGet     `cmd:"" help:"Print the keys and revisions, or one value."`
	Put     configPut     `cmd:"" help:"Replace one value."`
	History configHistory `cmd:"" help:"Print the earlier values of one key."`
}

// Help implements kong.HelpProvider.
func (*configCommands) Help() string { return configUsage }

type configGet struct {
	Key string `arg:"" optional:"" help:"Key; without it all keys are listed."`
}

// Run implements the command.
func (c *configGet) Run(s *env) error {
	if c.Key != "" {
		e, err := s.client.Config(s.ctx, c.Key)
		if err != nil {
			return err
		}
		return s.printConfig([]ledger.ConfigEntry{e}, e)
	}
	list, err := s.client.Configs(s.ctx)
	if err != nil {
		return err
	}
	return s.printConfig(list, list)
}

func (s *env) printConfig(list []ledger.ConfigEntry, value any) error {
	return s.print(value, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tREVISION\tAUTHOR\tAGE\tVALUE")
		for _, e := range list {
			printChange(w, e.Key, e.Change)
		}
	})
}

func printChange(w io.Writer, key string, c ledger.Change) {
	fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", key, c.Revision, c.Author, ago(c.At), c.Value)
}

type configPut struct {
	Key      string `arg:"" help:"Key."`
	File     string `arg:"" help:"File with the value as JSON; - for standard input."`
	Revision int64  `help:"Revision of the entry that is replaced; 0 for a new one." default:"0"`
	Author   string `help:"Who changes it, for the history. Default: your user name."`
}

// Run implements the command.
func (c *configPut) Run(s *env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return fault.BadField("file", "%s is not valid JSON", c.File)
	}
	if c.Author == "" {
		c.Author = userName()
	}
	answer, err := s.client.PutConfig(s.ctx, c.Key, json.RawMessage(data), c.Revision, c.Author)
	if err != nil {
		return err
	}
	return s.print(answer, func(w io.Writer) { fmt.Fprintf(w, "%s is at revision %d\n", c.Key, answer.Revision) })
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type configHistory struct {
	Key string `arg:"" help:"Key."`
}

// Run implements the command.
func (c *configHistory) Run(s *env) error {
	e, err := s.client.Config(s.ctx, c.Key)
	if err != nil {
		return err
	}
	return s.print(e, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tREVISION\tAUTHOR\tAGE\tVALUE")
		printChange(w, e.Key, e.Change)
		for _, change := range e.History {
			printChange(w, e.Key, change)
		}
	})
}
