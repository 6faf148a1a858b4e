package config

import "fmt"

// Merge returns the configuration that results when c is in use and next is read
// later, and the keys whose change needs a restart. c is not changed. Updater does the
// same for a sequence of configurations.
func (c *Config) Merge(next *Config) (merged *Config, restartRequired []string, err error) {
	ch, err := NewUpdater(c).PrepareFile(next)
	if err != nil {
		return nil, nil, err
	}
	return ch.Config, ch.RestartRequired, nil
}

// IsRetired reports whether slot i is that of a class or team that is no longer
// configured; retired is RetiredClasses or RetiredTenants, which may be shorter than
// the list of slots.
func IsRetired(retired []bool, i int) bool { return i < len(retired) && retired[i] }

// checkMissingKeys adds an error for each key of the decoded file was that the decoded
// file is does not have.
func checkMissingKeys(errs *validationErrors, path string, was, is any) {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		for key, value := range was {
			at := key
			if path != "" {
				at = path + "." + key
			}
			if value == nil {
				continue
			}
			if !ok || is[key] == nil {
				errs.add(at, "is absent, and the file in use has it")
				continue
			}
			checkMissingKeys(errs, at, value, is[key])
		}
	case []any:
		all := commonKeys(was)
		is, ok := is.([]any)
		if !ok {
			errs.add(path, "is not a list")
			return
		}
		if all == nil {
			return
		}
		for i, entry := range is {
			checkMissingKeys(errs, fmt.Sprintf("%s[%d]", path, i), all, entry)
		}
	}
}

// commonKeys returns the keys that all entries of a list of objects have; nil means
// that it is not a list of objects.
func commonKeys(list []any) any {
	var all map[string]any
	for i, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			all = map[string]any{}
			for key, value := range object {
				all[key] = value
			}
		}
		for key := range all {
			if object[key] == nil {
				delete(all, key)
			}
		}
	}
	if all == nil {
		return nil
	}
	return all
}
