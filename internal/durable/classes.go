package durable

import "hollyyoke.example/hollyyoke/decision"

// ClassIndexes returns the index in settings.Classes of each class, by name. A dispatch.Request has the index of its
// class, jobs and queues have the name.
func ClassIndexes(settings *decision.Settings) map[string]int {
	indexes := make(map[string]int, len(settings.Classes))
	for index := range settings.Classes {
		indexes[settings.Classes[index].Name] = index
	}
	return indexes
}
