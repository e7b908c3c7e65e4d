/*
 * parse: functions shared by the files that parse the configuration document.
 * Private to world.
 *
 *   parse.c              the document, regions, links, servers and limits
 *   parse_deployments.c  operators with their API keys, and deployments
 *   reader.c             typed access to JSON members
 *   world.c              references, look-ups and the index of API keys
 *   site.c               a world built from a site's configuration instead
 */
#ifndef CARDAMOM_WORLD_PARSE_H
#define CARDAMOM_WORLD_PARSE_H

#include "world/reader.h"

void world_read_operator(struct world_reader *reader, struct world *world,
                         const json_t *object);
void world_read_deployment(struct world_reader *reader, struct world *world,
                           const json_t *object);
void world_index_keys(struct world *world);

#endif
