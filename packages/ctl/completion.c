#include "ctl/ctl.h"

static const char SCRIPT[] =
    "_cardamomctl() {\n"
    "    local word=${COMP_WORDS[COMP_CWORD]}\n"
    "    local choices\n"
    "    case ${COMP_WORDS[1]} in\n"
    "    config) choices='check diff try promote rollback history show "
    "bootstrap --environment --revision --expect --node --token' ;;\n"
    "    batch) choices='submit status wait cancel results --node --token' "
    ";;\n"
    "    keys) choices='node api' ;;\n"
    "    status|trace|load|report) choices='--help --node --token' ;;\n"
    "    *) choices='config batch status trace load report keys completion' "
    ";;\n"
    "    esac\n"
    "    [ \"$COMP_CWORD\" = 1 ] && choices='config batch status trace load "
    "report keys completion --help --version'\n"
    "    COMPREPLY=($(compgen -W \"$choices\" -- \"$word\"))\n"
    "    [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- "
    "\"$word\"))\n"
    "}\n"
    "complete -F _cardamomctl cardamomctl\n";

/* `cardamomctl completion`: prints a completion script for bash to source. */
int
ctl_completion(int argc, char **argv)
{
    fputs(SCRIPT, stdout);
    return CTL_OK;
}
