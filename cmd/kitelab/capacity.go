package main

import (
	"errors"
	"fmt"
	"os"

	"kiteslip/internal/lab/scale/capacity"
)

// capacityCmd renders the tables of the capacity page.
type capacityCmd struct {
	Page   string   `default:"docs/CAPACITY.md" help:"The page whose tables are rendered."`
	Target string   `default:"docs/capacity/target-fleet.toml" help:"The operators' target."`
	Files  []string `default:"docs/capacity/slopes.json,docs/capacity/fleetday.json" help:"What was measured; one that is absent is left out."`
	Check  bool     `help:"Change nothing, and end with 1 if the page is not what the files give."`
}

// Run renders the page, or checks that it is up to date.
func (c *capacityCmd) Run() error {
	in, err := capacity.Load(c.Target, c.Files...)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	page, err := capacity.Render(string(old), in)
	if err != nil {
		return err
	}
	switch {
	case page == string(old):
		fmt.Println(c.Page, "is up to date")
	case c.Check:
		return errors.New(c.Page + " is not what the files give: run bin/kitelab capacity")
	default:
		if err = os.WriteFile(c.Page, []byte(page), 0o644); err != nil {
			return err
		}
		fmt.Println(c.Page, "is rendered anew")
	}
	return nil
}
