/*
 * load_report: turns the records of a load run into the JSON report that
 * `cardamomctl report` draws, a file of JSON lines and a one-line summary.
 */
#ifndef CARDAMOM_CTL_LOAD_REPORT_H
#define CARDAMOM_CTL_LOAD_REPORT_H

#include "ctl/load_client.h"

#include <jansson.h>

json_t *load_report_make(const struct load_client *client);
bool load_report_write_records(const struct load_client *client,
                               const char *path, struct base_error *err);
void load_report_summary(const json_t *report, GString *out);

#endif
