#!/usr/bin/env bash
# More jobs arrive than fit. Callers are told that none of them waits.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
if [ ! -x ../bin/standin ] || [ ! -x ../../target/corianderroad ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh"
	exit 2
fi
exec ../bin/standin -case pending-count -trouble "${TROUBLE:-1}" -root ../.. -record record.txt
