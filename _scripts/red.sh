#!/usr/bin/env bash
# Shows that each proof fails without the mechanism it proves: takes one
# mechanism at a time out of a scratch copy and expects the named test to fail.
# Usage: _scripts/red.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
wrong=0

# red NAME "FILE..." PERL-EXPRESSION PACKAGE TEST
red() {
  local name=$1 files=$2 edit=$3 package=$4 test=$5 file
  if [ "${#only[@]}" -gt 0 ] && [[ ! " ${only[*]} " == *" $name "* ]]; then return; fi
  rm -rf "$scratch/copy"
  mkdir "$scratch/copy"
  git -C "$root" ls-files -z -- ':!journal' | (cd "$root" && xargs -0 cp --parents -t "$scratch/copy")
  for file in $files; do
    perl -0pi -e "$edit" "$scratch/copy/$file"
    if cmp -s "$file" "$scratch/copy/$file"; then
      echo "STALE $name: the edit changes nothing in $file"
      wrong=1
      return
    fi
  done
  local out status=0
  out=$(cd "$scratch/copy" && go test "$package" -timeout 120s -run "$test" 2>&1) || status=$?
  if grep -q 'no tests to run' <<<"$out"; then
    echo "STALE $name: no test $test in the commit's files"
    wrong=1
  elif [ "$status" = 0 ]; then
    echo "GREEN $name: $test passes without the mechanism"
    wrong=1
  elif grep -qE '^# github.com|build failed' <<<"$out"; then
    echo "BROKEN $name: the copy does not build"
    wrong=1
  else
    echo "red   $name: $(grep -m1 -oE -e 'FAIL: .*txtar.*' -e 'soak_test.go.*' -e 'no match for .*' -e 'panic: .*' -e 'unexpected command .*' -e '_test.go:[0-9]*: .*' <<<"$out" | cut -c1-160)"
  fi
}
only=("$@")

s=./scenario
red deadline server/filters.go 's/context\.WithDeadline\(ctx, x\.deadline\)/context.WithDeadline(ctx, x.deadline.Add(time.Hour))/' $s TestScenarios/finish-slow-engine
red silence server/stream.go 's/cancel\(errSilent\)/_ = errSilent/g' $s TestScenarios/memory-cut-engine
red orphans server/keep.go 's/s\.freeOrphan\(k, o\)/_ = o/' $s TestScenarios/memory-killed-entry
red renewal server/renew.go 's/go s\.renewHolds\(engine, ids\)/_, _ = engine, ids/' $s TestScenarios/memory-renewed
red foreign relayer/relayer.go 's/if c\.ID != r\.requestID/if false/; s/if c\.AttemptID != r\.attemptID \|\| r\.whole/if r.whole/' $s TestScenarios/answer-crossed
red resume server/complete.go 's/return x\.repeatable \|\| x\.pending == 0/return false/' $s TestScenarios/answer-killed-engine
red honest server/call.go 's/if !\*connected/if true || !*connected/' $s TestScenarios/notrun-refused
red spent spender/spender.go 's/if !s\.isSpent\(t\.number\)/if true/' $s TestScenarios/once-resend
red forward server/once.go 's/return s\.forward\(x\)/return s.runOnce(x, next)/' $s TestScenarios/once-resend
red incarnation server/once.go 's/ticket\.Owner != s\.settings\.Name \|\| ticket\.Incarnation != s\.config\.Incarnation/false/' $s TestScenarios/once-killed-entry
red leaving "server/keep.go server/control.go server/peers.go keeper/keeper.go" 's/\b(k\.load|load|l)\.Leaving\b/false/g' $s TestScenarios/leaving-engine
red leaving-list drainer/drainer.go 's/u\.listLeaving = state\[name\] != api\.InstanceLive/u.listLeaving = false/' $s TestScenarios/leaving-list
red drain server/server.go 's/for s\.inFlight\(\) > 0/for false/; s/busy\.Await\(time\.Time\{\}, drainPoll\)/_ = busy/; s/web\.Shutdown\(context\.Background\(\)\)/web.Close()/' $s TestScenarios/stop-entry
red newcomers server/filters.go 's/if x\.view\.stopping && !own/if x.view.stopping \&\& !own \&\& false/' $s TestScenarios/stop-entry
red spread server/beat.go 's/go s\.fetch\(beat\.PeerAddress, beat\.From\)/_ = wanted/' $s TestScenarios/config-spread
red order adopter/adopter.go 's/case old\.Less\(offered\.Version\):/case old != offered.Version:/' $s TestScenarios/config-spread
red tie validator/document.go 's/return v\.Digest < o\.Digest/return false/' $s TestScenarios/config-operators
red list server/control.go 's/if !c\.lister\.Offer\(now, data, age\)/if age > 0 || !c.lister.Offer(now, data, age)/' $s TestScenarios/platform-down
red fence planner/planner.go 's/next := seen>>keeperBits \+ 1/next := uint64(1)/' $s TestScenarios/orders-version
red lost-share server/group.go 's/s\.registerHold\(share\.Engine, share\.HoldID, lost\)/s.registerHold(share.Engine, share.HoldID, func() {})/' $s TestScenarios/group-lost-share
red body-deadline server/filters.go 's/connection\.SetReadDeadline\(x\.deadline\)/connection.SetReadDeadline(time.Time{})/' $s TestScenarios/finish-stalled-body
red waking server/filters.go 's/_ = connection\.SetWriteDeadline\(time\.Now\(\)\.Add\(deadlineSlack\)\)//' $s TestScenarios/finish-woken-entry
red seal server/control.go 's/len\(s\.sealKeys\) > 0/false/' $s TestScenarios/console-operators
p=./forwarder
red last-attempt forwarder/watchdog.go 's/ \|\| x\.sent\+1 >= x\.route\.MaxAttempts//' $p TestSilenceEndsNoLastAttempt
red elsewhere forwarder/watchdog.go 's/if !w\.elsewhere\(w\.begun\)/if false/' $p TestSilenceEndsNothingThatNobodyElseTakes
red unsafe-repeat forwarder/forward.go 's/x\.pending > 0 && !x\.route\.Repeatable\(\)/false/; s/x\.sent >= x\.route\.MaxAttempts/x.sent >= 2/' $p TestAtMostOnceUnderEveryFault
red partial-event forwarder/stream.go 's/events\.Partial\(\)/false/' $p 'TestBrokenStreamIsCut|TestStreamGoesOnElsewhere'
red other-answer forwarder/attempt.go 's/reply\.Call != "" && reply\.Call != x\.call\.ID/false/' $p TestAtMostOnceUnderEveryFault
red release forwarder/attempt.go 's/f\.release\(a\.group\)//' $p TestMemoryOfGroupIsGivenBack
red first-config forwarder/forwarder.go 's/f\.awaitConfig\(x\)$/f.view()/m' $p TestEntryJustStarted
red newest-first predictor/queue.go 's/return !a\.Arrived\.Before\(b\.Arrived\)/return a.Arrived.Before(b.Arrived)/' ./predictor TestOrderOfPrefill
red packing dispatcher/search.go 's/openCost - o\.packed/0/' ./dispatcher TestTowerQueriesLeaveEnginesToAudits
red blind dispatcher/search.go 's/packs := !blind && /packs := /' ./dispatcher TestBlindEntriesSpread
red costly dispatcher/admit.go 's/if valueOf\(d\.Prompt\)-cost-price > 0/if price >= 0/' ./dispatcher TestCostlyPromptIsRefusedUnderBacklog
red held follower/follower.go 's/ok && !k\.listed\.Instance\.Leaving && held > 0/false/' ./follower TestLapsedInstancesAreHeld
red older-state follower/follower.go 's/if s\.Revision < f\.revision \{\n\t\treturn nil\n\t\}//' ./follower TestOlderStateChangesNothing
red fallback controller/follow.go 's/!ok \|\| age > part\(/!ok || age < -part(/' ./controller 'TestPartedEntriesReadForThemselves|TestEntryCutOffFromStore'
red compressed-config controller/fetch.go 's/flate\.BestSpeed/flate.NoCompression/' ./controller TestLargeConfigurationSpreadsOverSlowLinks
red unconfirmed forwarder/forwarder.go 's/age > x\.view\.TrustTime/false/' $p TestUnconfirmedEntryDeniesNothing
red last-try forwarder/forwarder.go 's/return x\.call\.Patience \/ lostWaitPart/return 0/' $p TestEntryStartedWithoutStore
red helper-fault forwarder/attempt.go 's/a\.helperAtFault = true//' $p TestHelperWithoutRoomIsReplaced
red jitter dispatcher/search.go 's/o\.cost \+= o\.jitter \+ /o.cost += /' ./dispatcher TestEntriesThatChooseAtOnceSpread
red joins predictor/pass.go 's/if t\.joined/if t.decoding/' ./predictor TestAnswerBegunWithinAPass
red estimate predictor/forecast.go 's/tasks\[i\]\.events = max/_ = max/' ./predictor TestAnswerPastItsEstimateGoesOn
red elsewhere-begins predictor/pass.go 's/if q\.foresees && t\.awaits\(\)/if false/' ./predictor TestJointAnswerBeginsElsewhere
red seen-pass predictor/queue.go 's/if q\.end\.IsZero\(\) \|\| !q\.decodes \|\| now\.Sub\(q\.confirmed\) < sameEnd/if true/' ./predictor TestSeenEventsCorrectPasses
red filled-steps predictor/pass.go 's/q\.take\(steps\*chunk, 0\)/q.take(q.tasks[first].tokens, 0)/' ./predictor TestFirstEventsOfShortPrompts
red slot-price dispatcher/candidate.go 's/fullSlotPrice = 0\.8/fullSlotPrice = 0.0/' ./dispatcher TestAuditWaitsWhileSlotsAreScarce
red turn dispatcher/place.go 's/if r := tooEarly\(.*?\); r != nil/if r := (*Refusal)(nil); r != nil/' ./dispatcher TestHeavyPromptWaitsForItsTurn
red later-upstream dispatcher/board.go 's/if len\(r\.unknown\) > 0/if false/' ./dispatcher TestToldRequestsJoinUpstreamsKnownLater
red urgent-lines logger/queue.go 's/len\(q\.lines\) >= ordinaryLines/false/' ./logger TestFailuresAreDroppedLast
red since follower/follower.go 's/whole = have < f\.base/whole = have == 0/' ./follower TestChangesSinceARevisionMissNothing
red linger launcher/launcher.go 's/earlier\(forget, by\)/earlier(began, earlier(forget, by))/' ./launcher TestRollingStopCutsOffNothing
red removal follower/follower.go 's/doubtful := .*/doubtful := true/; s/!f\.failedAt\.After\(f\.servedAt\) && !f\.confirmedAt/false \&\& !f.confirmedAt/' ./follower TestRemovalsAndLapsesInEveryOrder
red lapse follower/follower.go 's/doubtful := .*/doubtful := false/' ./follower TestRemovalsAndLapsesInEveryOrder
red run-replaced dispatcher/board.go 's/if ok && !w\.instance\.Same\(i\)/if false/' ./dispatcher 'TestNewRunHoldsNothing|TestOwnersHearOfALostRun|TestLateWordOfAnEarlierRun'
red run-told dispatcher/instance.go 's/if i\.Started\.IsZero\(\) \{\n\t\treturn TokenOf/if true {\n\t\treturn TokenOf/' ./dispatcher TestPeersTellOfRuns
red one-address platform/headers.go 's/ \|\| status == http\.StatusMisdirectedRequest//' ./forwarder TestTwoIDsWithOneAddress
red run-lost forwarder/attempt.go 's/p\.OnLost\(.*\)\n/\n/' $p 'TestStreamOfALostRunGoesOn|TestCallOfALostRunEnds|TestGroupOfALostRunBeginsAgain'
red group-again forwarder/stream.go 's/ && len\(p\.Shares\) == 0/ /; s/ && !a\.lost\(\)//' $p TestGroupOfALostRunBeginsAgain
red entry-fault platform/instance.go 's/ok = ok && string\(raw\) != "null".*/_ = json.Unmarshal(raw, \&value)\n\tok = true/' ./platform TestEntriesOfOtherWriters
red value-fault platform/store.go 's/l\.Instance, l\.Fault = unusable\(id\), err/l.Instance.Service = "app"/' ./platform TestUnreadableValues
red unused-memory forwarder/group.go 's/g\.giveUp\(errIdle\)\n\t\t\treturn/_ = errIdle/' $p TestUnusedMemoryIsGivenBack
red relays controller/paths.go 's/live\[name\] < relayFrom/true/' ./controller TestLoadCrossesBetweenDataCentresOnce
red relayed controller/shares.go 's/case dispatcher\.RelayToPlacing:/case dispatcher.Relay(99):/' ./controller TestLoadCrossesBetweenDataCentresOnce
red relayed-to-all controller/shares.go 's/case dispatcher\.RelayToAll:/case dispatcher.Relay(99):/' ./controller TestLoadGoesToEntriesThatPlace
red told-to-placing controller/shares.go 's/c\.current\.Load\(\)\.placing, dispatcher\.RelayToPlacing/c.current.Load().paths, dispatcher.RelayToAll/' ./controller TestLoadGoesToEntriesThatPlace
red asked-all-the-same controller/tellers.go 's/= told \|\|/= told \&\& false ||/' ./controller TestLoadGoesToEntriesThatPlace
red newcomers-told controller/shares.go 's/told = c\.tellNew\(socket, told\)/_ = told/' ./controller TestRestartedEntryLearnsLoad\$
red told-unheard controller/view.go 's/if m\.PeerAddress\.IsValid\(\) && \(!dead/if m.PeerAddress.IsValid() \&\& (m.State == prober.Live || m.State == prober.Stopping) \&\& (!dead/' ./controller TestRestartedEntryLearnsLoadInALargeFleet
red within prober/prober.go 's/if n < leastWithin/if n < 1<<30/' ./prober TestHeartbeatsStayWithinDataCentres
red end-is-told launcher/launcher.go 's/l\.cut\(forwarder\.ErrCutOff\)/_ = forwarder.ErrCutOff/' ./launcher TestEndOfAnEntryIsTold
red ends-in-time forwarder/stop.go 's/return v\.Stopping \&\& x\.deadline\.After\(v\.StopBy\)/return false/' $p TestStoppingEntryBeginsOnlyWhatEndsInTime
red stopping-forecast dispatcher/place.go 's/d\.latestEnd\(now, best\) > d\.EndWithin/false/' ./launcher TestStoppingEntryCutsNoStream
red stopping-plain dispatcher/place.go 's/if d\.EndWithin > 0 \{/if false {/' ./launcher TestStoppingEntryCutsNoLateBody
red stop-elsewhere forwarder/stop.go 's/x\.mayOutlast\(v\) \&\& x\.arrived/false \&\& x.arrived/' $p 'TestStoppingEntryBeginsOnlyWhatEndsInTime|TestLastEntryBegins'
red stop-retry forwarder/stop.go 's/if v\.Others > 0 \{/if true {/' $p TestLastEntryThatStops
red stop-told forwarder/stop.go 's/d\.Left = min\(d\.Left, d\.EndWithin\)/_ = d.Left/' ./forwarder TestEndOfAStoppingEntryIsTold
red stop-silence forwarder/watchdog.go 's/d = x\.boundByStop\(v, d\)/_ = d/' $p TestSilenceNearTheEndOfAnEntry
red stop-admits forwarder/stop.go 's/return x\.boundByStop\(v, d\)/d.Admitted = true\n\treturn x.boundByStop(v, d)/' $p TestStoppingEntryRefusesWhatCostsTooMuch
red stop-unknown-length dispatcher/place.go 's/d\.MostAnswer <= 0 \|\| //' ./launcher TestStoppingEntryCutsNoStreamOfUnknownLength
red stop-longest dispatcher/admit.go 's/events := d\.MostAnswer/events := d.Answer/' ./dispatcher TestLongestAnswerEndsInTime
red stop-slow-engine dispatcher/admit.go 's/\* o\.worker\.health\.pace\(now\)\n\treturn/+ 0*o.worker.health.pace(now)\n\treturn/' ./dispatcher TestLongestAnswerAtASlowEngine
red end-while-sending forwarder/limits.go 's/stop := context\.AfterFunc\(x\.ctx, func\(\) \{[^}]*\}\)/stop := func() {}/' ./launcher TestEndOfAnEntryIsToldToThoseStillSending
red stop-unconfigured forwarder/forwarder.go 's/ \&\& !v\.Stopping//' $p TestStoppingEntryWithoutConfiguration
red stop-begun forwarder/watchdog.go 's/ \&\& !begun \{/ {/' $p TestSilentStreamGoesOnElsewhereAtAStop
red stop-called forwarder/watchdog.go 's/ \&\& x\.isStream\(\) \&\& !begun/ \&\& !begun/' $p TestSilentCallGoesElsewhereAtAStop
red dropped-at-shutdown launcher/launcher.go 's/l\.busy\.Await\(by, stopPoll\)/_ = by/' ./launcher TestStoppingEntryAnswersOpenConnections
red server-dropped-at-shutdown server/server.go 's/busy\.Await\(time\.Time\{\}, drainPoll\)/_ = busy/' ./server TestStoppingEntryAnswersKeptConnections
red server-stalled server/filters.go 's/x\.stalled = true[^\n]*\n\t\treturn/x.stalled = false/' ./server TestStalledCallerDoesNotHoldStop
red yields dispatcher/settle.go 's/rival\.sent\(now\) \|\| rival\.precedes\(r\)/false/' ./dispatcher 'TestOfTwoPlacedAtOnceOneYields|TestOfManyPlacedAtOnceSomeStay'
red yields-to-sent dispatcher/settle.go 's/rival\.sent\(now\) \|\| //' ./dispatcher TestYieldsToWhatWasSent
red settles forwarder/place.go 's/if !p\.Settles\(\) \|\|/if true ||/' ./forwarder TestPromptYieldsItsPlace
red malformed-lines controller/linelimit.go 's/now\.Before\(l\.next\)/false/' ./controller TestLineLimit
red status-takes controller/status.go 's/takes\[m\.Name\]/false/' ./controller TestStatusTellsWhoTakesCallers
red watched-few prober/prober.go 's/if n < leastWithin/if n < 0/' ./prober TestHeartbeatsStayWithinDataCentres
red fast-entries controller/takers.go 's/t\.speed < fastPart\*fastest/false/' ./controller TestPreferredEntries
red time-to-end dispatcher/request.go 's/unfinished = over\(/_ = over(/' ./dispatcher TestLongPromptLeavesAnswersTimeToEnd
red outage-calls controller/follow.go 's/return failurePause\(len\(live\)\)/return mostFailurePause/' ./controller TestCallsInAnOutageDoNotGrowWithTheFleet
red dead-told controller/controller.go 's/deadTold = 10 \* time\.Second/deadTold = 0 * time.Second/' ./controller TestHalfAFleetStartsAnew
q=./quarantiner
red quarantined forwarder/ended.go 's/until, ok := f\.quarantine\.Until\(now, x\.content\)/until, ok := now, false/' ./launcher TestRequestThatCrashesUpstreamsIsStopped
red quarantine-told quarantiner/news.go 's/if n\.Digest == heard\.Digest/if true/' $q TestNewEntryIsToldAll
red strikes-told quarantiner/news.go 's/return out\[:min\(len\(out\), mostTold\)\]/return nil/' $q TestContentThatEndsThreeRunsIsRefusedByAll
red bystanders quarantiner/judge.go 's/ \|\| q\.isRivalled\(c, p, e\)//' $q 'TestBystandersAreNotRefused|TestOutageBeforeTheCause'
red explained quarantiner/judge.go 's/; ok \&\& o != c \{/; false \&\& ok \&\& o != c {/' $q TestBystandersAreNotRefused
red outage-strikes quarantiner/judge.go 's/others\+\+/_ = e/' $q TestOutagesFarApartRefuseNothing
red outage-half quarantiner/judge.go 's/ \&\& q\.isOutage\(runs, ends\)/ \&\& false/' $q TestOutageOfHalfOfAllUpstreams
red strikes-at-once quarantiner/judge.go 's/if s\.Sent\.Before\(last/if false \&\& s.Sent.Before(last/' $q TestEndsAtOnceCountOnce
red answers-remembered quarantiner/quarantiner.go 's/; ok \&\& clears\(at, s\.Ended\)/; false \&\& ok \&\& clears(at, s.Ended)/' $q TestOutageUnderPopularContent
red suspects-bounded quarantiner/quarantiner.go 's/len\(q\.suspects\) >= mostSuspects/false/' $q TestBounds
red strikes-told-on quarantiner/news.go 's/s\.tellings--/_ = s/' $q TestTargetFleet
red proven forwarder/stream.go 's/if a\.event\(time\.Now\(\)\)/if a.event(time.Now()) \&\& false/' ./forwarder TestEndOfUpstreamCountsAgainstWhatItHadJustBegun
red living forwarder/ended.go 's/if !f\.presence\.Gone\(first\.Address\.String\(\)\)/if false/' ./forwarder TestBrokenAnswerOfALivingUpstreamCountsForNothing
red suspect-once forwarder/forward.go 's/ \|\| f\.isSuspect\(x, a\)//' ./forwarder TestSuspectIsSentOnce
red says-it-leaves dispatcher/wish.go 's/return w\.leaving \|\| w\.pausedTo/return w.pausedTo/' ./forwarder TestUpstreamThatSaysThatItLeaves
red leaving-remembered dispatcher/wish.go 's/return w\.leaving \&\& now[^\n]*/return false/' ./forwarder TestEngineThatSaysThatItLeaves
red pauses dispatcher/wish.go 's/ \|\| w\.pausedTo\.After\(now\) \}/ }/' ./forwarder TestPausingUpstream
red server-quarantined server/complete.go 's/if f := x\.quarantined\(\); f != nil/if f := x.quarantined(); false \&\& f != nil/' ./server TestPromptThatCrashesEnginesIsStopped
red calls-quarantined server/call.go 's/if f := x\.quarantined\(\); f != nil/if f := x.quarantined(); false \&\& f != nil/' ./server TestCallThatCrashesServicesIsStopped
red calls-spread dispatcher/place.go 's/cost \+= spread \* b\.random\.Float64\(\)/_ = spread/' ./server 'TestCallsAreSpreadOverInstances|TestCallBesideOneThatCrashesServices'
red calls-health server/call.go 's/return dispatcher\.Failed\n\}/return dispatcher.Answered\n}/' ./server TestCallsAvoidAFrozenInstance
red local-board dispatcher/share.go 's/if b\.local \{/if false {/g' ./dispatcher TestLocalBoardKeepsNothingForPeers
red late-word-streams forwarder/attempt.go 's/if seen == 0 \{/if true {/' ./forwarder TestStreamThatTheNewRunAnswersGoesOn
red late-word-calls dispatcher/board.go 's/began\.IsZero\(\) \|\| !p\.request/true || !p.request/' ./forwarder TestCallSentLongAfterTheNewRunBeganIsAnswered
red blocked-takes-nothing dispatcher/place.go 's/if w\.health\.blocked\(now\) \{/if false {/' ./dispatcher TestUpstreamsThatAcceptNothingTakeNothing
red load-news controller/shares.go 's/&c\.news\.relayed/\&c.news.told/g' ./controller TestStatusTellsOfLoadNews
red orphans-replaced server/keep.go 's/s\.freeOrphan\(k, o\)/_ = o/' $s TestScenarios/memory-replaced
red silence-at-a-stop server/stream.go 's/cancel\(errSilent\)/_ = errSilent/g' $s 'TestScenarios/stop-entry-(cut|frozen)'
red leaving-woken "server/keep.go server/control.go server/peers.go keeper/keeper.go" 's/\b(k\.load|load|l)\.Leaving\b/false/g' $s TestScenarios/leaving-woken
red resume-at-a-stop server/call.go 's/!x\.repeatable && x\.pending > 0/x.pending > 0/' $s TestScenarios/stop-entry-service
red partition-stop server/server.go 's/for s\.inFlight\(\) > 0/for false/; s/busy\.Await\(time\.Time\{\}, drainPoll\)/_ = busy/; s/web\.Shutdown\(context\.Background\(\)\)/web.Close()/' $s 'TestScenarios/stop-entry-(partition|faults)'
red foreign-late relayer/relayer.go 's/if c\.ID != r\.requestID/if false/; s/if c\.AttemptID != r\.attemptID \|\| r\.whole/if r.whole/' $s TestScenarios/answer-late-service
red late-lines logger/queue.go 's/close\(q\.closing\)/close(q.closing); close(q.lines)/' ./logger TestLinesAfterTheEndAreDropped
red idle-connections connector/pool.go 's/c\.calls == 0 && now\.Sub\(c\.used\) >= idleTime/false/' ./connector TestConnectionsWithoutCallsAreClosed
red used-connections connector/pool.go 's/c\.calls == 0 && now/now/' ./connector TestConnectionInUseStaysOpen
red idle-queue connector/queue.go 's/wake: make\(chan struct\{\}, 1\)/wake: make(chan struct{}, 1), pending: make([][]byte, 0, maxQueued)/' ./connector TestIdleQueueTakesLittleMemory
red stop-unspread prober/prober.go 's/p\.announce\(now, m, api\.NoticeLeaving\)/_ = now/' ./prober TestStopAndReturnSpread
red return-unspread prober/prober.go 's/m\.State == Dead \|\| m\.State == Stopping \|\|/m.State == Dead ||/' ./prober TestStopAndReturnSpread
red news-again prober/prober.go 's/isNews := !m\.Ready && /isNews := /' ./prober TestAMemberIsNewsOnce
red late-beat prober/prober.go 's/m\.State == Stopping && !beat\.Stopping/false/' ./prober TestLateHeartbeatOfAStoppingMember
red told-ready controller/view.go 's/ \|\| m\.State == prober\.Listed\)/)/' ./controller TestAddressesFollowAStop
red stopping-relay controller/paths.go 's/!p\.dead && !p\.stopping/!p.dead/' ./controller TestLoadIsToldBesideEntriesThatStop
red one-relay controller/shares.go 's/heavyRelays = 4/heavyRelays = 1/' ./controller TestHeavyPromptsAreToldInSpiteOfDeadRelays
red told-failures dispatcher/share.go 's/b\.learn\(now, r, s\)/_ = s/' ./dispatcher TestEntriesTellOfFailingUpstream
red told-own-links dispatcher/placement.go 's/return OutcomeUnknown/return OutcomeFailed/' ./dispatcher TestOutcomeIsToldOnce
red middle-packed dispatcher/search.go 's/return openCost \* valueOf/return 0 * valueOf/' ./dispatcher TestSpanReviewsLeaveEnginesToAudits
red middle-firsts dispatcher/search.go 's/if !s\.packs \{\n\t\treturn s\.order/if true {\n\t\treturn s.order/' ./dispatcher TestSpanReviewsLeaveEnginesToAudits
red answer-of-first dispatcher/share.go 's/if p\.job\.Decodes/if p == r.parts[0]/' ./dispatcher TestAnswerSpeaksForTheFirstEngine
red counted-from-none forwarder/metrics.go 's/\tm\.requests\(outcomeAnswered\).*\n//' ./forwarder TestRequestsAreCountedFromNone
exit $wrong
