package durable

import "hollyyoke.example/hollyyoke/decision"

// ClassIndexes returns the index of each class in settings.Classes by its name, as a dispatch.Request names its class.
// Jobs and queues name their classes by text instead.
func ClassIndexes(settings *decision.Settings) map[string]int {
	indexes := make(map[string]int, len(settings.Classes))
	for index := range settings.Classes {
		indexes[settings.Classes[index].Name] = index
	}
	return indexes
}
