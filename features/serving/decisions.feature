Feature: decisions about requests, replicas and engines, without a network

  Scenario: the longest matching path prefix selects the route
    # Two routes of a host have paths that begin the same way. A request for the
    # longer one must not reach the other's service, nor must a path that only
    # shares the first letters.
    When requests are matched against routes of two hosts
    Then each finds the longest prefix of its own host, or none

  Scenario: a configuration is never replaced by an older version
    # A delayed answer delivers an older version after the newer one is in
    # force. Removed routes would be served again and removed keys accepted.
    Given a deployment with version 7 in force
    When versions 3, 7 and 9 are applied in turn
    Then only version 9 is put in force

  Scenario: a replica that reports it is leaving gets no work until it restarts
    # The list of replicas lags by a second. A replica that answers for another
    # one has lost its address; by the list alone it would get more work.
    Given a deployment with two replicas of a service
    When one of them turns out to have another's address
    Then only the other one may be used
    And it may be used again once the list shows a new start under its id

  Scenario: a replica that restarted while the list was not watched gets work
    # Guards against a replica that is taken for leaving for good: it restarts
    # under its id, and the list is read as a whole instead of followed.
    Given a deployment with two replicas of a service
    When one of them turns out to have another's address
    Then it may be used again once a whole list shows a new start under its id

  Scenario: a customer's priority takes precedence over its route's
    # With the customer's priority alone, where all customers have the same, an
    # urgent request queues behind one that can wait.
    Given a deployment with routes of priority 0 and 2
    When customers of priority 0, 1 and of none ask on both
    Then customers come first, routes decide among equals, and alone without

  Scenario: a replica that drains gets no new work
    # A replica reports that it drains while the stages of a request are still
    # being computed. A choice made before must not remain in effect.
    Given a deployment with two replicas of a service
    When one of them reports that it drains
    Then only the other one may be used

  Scenario: retries of all daemons stay within the shared allowance
    # Six daemons each detect a failing service. If each spends the whole
    # allowance it is exceeded sixfold and an outage is amplified.
    When six daemons spend retries as fast as they may for a minute
    Then no window of ten seconds holds more than the allowance
    And daemons that ignore the others exceed it

  Scenario: a replica that fails part of its requests loses most of them
    # It answers its health check and fails four of ten requests. Only the
    # outcomes show this. Once it recovers it must get its share back.
    When one of three replicas fails four of ten requests for a while
    Then it gets less than a tenth of the requests meanwhile
    And at least a fifth of them soon after it is well

  Scenario: requests of one subject stay on one engine
    # An engine that has cached a subject's long prompt skips its prefill.
    When 300 requests of 30 subjects are placed on five engines
    Then each subject's part is prefilled by one engine, few by two

  Scenario: a hot subject spreads over the engines
    # Half of the traffic suddenly has one subject. Its single engine would
    # serve it alone while four are idle.
    When 60 requests of one subject are placed on five engines at once
    Then no engine has more than twice its share of them

  Scenario: a short prompt does not queue behind a long one
    # The prefill of a prompt of 50,000 tokens takes a second. If only requests
    # are counted it looks like any other.
    When a prompt of 50000 tokens is placed and then ten short ones
    Then none of the short ones goes to the long one's engine

  Scenario: an engine that fails requests is avoided
    # It accepts connections but its requests are aborted.
    When an engine fails the first three requests it gets
    Then the next ten requests go to other engines

  Scenario: a placer without state sends subjects to the engines they were on
    # The decider fails and another daemon takes over without its state. Without
    # preferred engines every subject would be prefilled again elsewhere.
    When two placers without state place 40 subjects
    Then both place at least 30 of them on the same engine

  Scenario: a placer counts no more cached tokens than its engines can store
    # Engines evict the least recently used prompts. A placer that does not would
    # rely on prompts that are no longer cached.
    When 500 subjects of 20000 tokens are placed on one engine
    Then the placer counts no more cached tokens than the engine can store

  Scenario: a daemon that is no longer the decider redirects to the one that is
    # A decider leaves. For half a second some daemons have not received this
    # and still send it work. If they scheduled it themselves, each would fill
    # calls with its own pieces only.
    Given three daemons of which one decides for a service
    When it redirects to another one
    Then that one is called until the redirect expires
    And not if it is silent, and not if it is this daemon itself

  Scenario: results are freed once nothing needs them
    # Results of the first stage stayed in the replicas' memory until the request
    # was answered, and the first stage could not store new ones.
    Given stages of which none is behind
    When a request runs through both of them
    Then the first one's results are freed, and not the ones the request needs

  Scenario: pieces are computed where most of their inputs are stored
    # Each piece fetches all results of the preceding stage, from another data
    # centre if its replica is located elsewhere.
    When pieces with two inputs here and one there are queued
    Then they are assigned to the data centre of the two

  Scenario: a request that could not meet its deadline is refused on arrival
    # The first stage is idle and the second has a backlog of seconds. If the
    # request started, it would use the first one's time and then expire in the
    # queue of the second.
    Given stages of which the second is 5 seconds behind
    When a request comes whose caller waits 2 seconds, and one that waits 9
    Then the first is refused as not run with a retry time, and starts no stage
    And the second one's results are computed

  Scenario Outline: a request that names <count> pieces of a stage
    # Guards against memory and time that grow with a number in a header.
    Given two stages of 40 replicas, which compute 20,000 pieces in 2 seconds
    When a request names <count> pieces of the first and 50 of the second
    Then <outcome>
    And never more than 1,000 pieces, or 20,000 inputs of pieces, are made at once

    Examples:
      | count              | outcome                          |
      | 1                  | all of its pieces are computed   |
      | 1000               | all of its pieces are computed   |
      | 1001               | all of its pieces are computed   |
      | 20000              | all of its pieces are computed   |
      | 20000000           | none of its pieces is made       |
      | 999999999999999999 | none of its pieces is made       |

  Scenario Outline: a request that names <count> pieces of 100 MB
    # Guards against results that the replicas of a stage have no memory for.
    Given two stages of 40 replicas, which compute 20,000 pieces in 2 seconds
    When a request names <count> pieces of 100 MB of the first
    Then <outcome>

    Examples:
      | count | outcome                        |
      | 800   | all of its pieces are computed |
      | 801   | none of its pieces is made     |

  Scenario: the inputs of a stage are freed with its last part
    # Guards against inputs that are gone as the later parts of a stage need them.
    Given two stages of 40 replicas, which compute 20,000 pieces in 2 seconds
    When a request names 1001 pieces of the first and 50 of the second
    Then only the last part of the second stage frees its inputs

  Scenario: a later part of a stage that fails frees the earlier ones
    # Guards against results that fill replicas' memory after their request.
    Given two stages of 40 replicas, which compute 20,000 pieces in 2 seconds
    When the second part of a stage of 2,500 pieces fails
    Then the results of the first part are freed

  Scenario: an omitted stage passes its inputs on to the stages after it
    # A request may omit a stage. The stages after it then take its inputs;
    # without any inputs they would compute a wrong result.
    When a graph of four stages runs with its second stage left out
    Then the third stage works on the first one's results
    And the request itself needs the results of the last stage alone

  Scenario: a replica gets no more connections than this daemon's share
    # The replicas of a booking desk accept 96 connections from all callers and
    # reset further ones. When they stalled, crews were told that the outcome of
    # a booking was unknown, although nothing had run.
    Given a replica that accepts 96 connections from six daemons
    When twelve requests are under way there from one daemon
    Then another one fits, and none after it until one has ended
    And a daemon that knows no limit, or of no other daemon, still sends one
