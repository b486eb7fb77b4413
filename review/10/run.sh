#!/bin/sh
# Plays the case and writes record.txt. TROUBLE=0 plays it without its disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/rig-2 leaving-clients review/10/record.txt
