package config

import "fmt"

// Merge lays next, which was read later, over c, which is in use, and returns
// the outcome; c stays as it is. See Places, which does the same again and again.
func (c *Config) Merge(next *Config) (merged *Config, kept []string, err error) {
	ch, err := NewUpdater(c).PrepareFile(next)
	if err != nil {
		return nil, nil, err
	}
	return ch.Config, ch.RestartRequired, nil
}

// IsRetired says whether place i is of a class, or team, that is no longer in the file.
func IsRetired(off []bool, i int) bool { return i < len(off) && off[i] }

// checkMissingKeys adds an error for each key that is in the decoded text was and not in is.
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
			errs.add(path, "is no list")
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

// commonKeys returns the keys that all entries of a list of objects have; nil = it is no such list.
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
