Feature: the first seconds after all daemons were lost

  Scenario: daemons that start together know one another at once
    # A loss of power takes all nine daemons and they come back within half a
    # second. Each met the others one by one, in rounds of probes; for a second
    # up to nine of nine decided for one stage service, each alone.
    Given nine daemons that the platform lists
    When all of them start within 300 ms and say that they serve
    Then each knows all of them 100 ms after the last one started
    And without a word that they serve they take longer

  Scenario: a decider asks for the makers' memory before its first call
    # The daemon that decided is gone, and its results lie in the makers'
    # memory. Its successor took them for empty, and its calls found no room.
    Given a maker of 2.78 MB that others have filled but for 0.7 MB
    When a decider takes over and the maker tells whole megabytes
    Then it makes no call before it was told
    And its first call holds no more than what may be free

  Scenario: what is believed taken is given up when the maker says otherwise
    # Results of dead daemons expire after four seconds. The decider believed
    # them there for four seconds after the last piece that found no room.
    Given a maker of 2.78 MB that is believed to be full
    When the maker tells that 2 MB are free
    Then calls are filled again but for what may be unknown

  Scenario: results that were freed since a maker's word are not others'
    # A maker's word is of 200 ms ago. Results of one's own that were freed since
    # looked like others', and the queue starved beside an empty memory.
    Given a maker of 2.78 MB that is full of results known here
    When they are freed and the maker still tells that nothing is free
    Then the whole of its memory is used

  Scenario: a caller that has been trying elsewhere is known by its time left
    # After an outage most callers have used up the time in which an answer has
    # its full value. Taken for new ones they made those late that were not.
    Given a route whose callers wait 5 to 6 seconds
    When one comes that waits 5.2 seconds, and one that waits 3
    Then the first is new, and the second has been trying for 2.6 seconds

  Scenario: a daemon that has just started tells them apart as well
    Given a route that keeps callers waiting for 6 seconds at most
    When its first caller waits 4.4 seconds
    Then it has been trying for 1.2 seconds

  Scenario: inputs are freed as soon as a call must have fetched them
    # The memory of the second stage's replicas binds. Its results were kept to
    # the end of the third stage's calls, three times as long as they were used.
    Given pieces in a call whose inputs nothing else needs
    When the call has had the time to fetch them
    Then their inputs are freed, once all pieces of the request are in calls

  Scenario: inputs are kept where freeing them helps nobody, or is not safe
    # A piece that fails is made again from its inputs. And where two daemons
    # decide for a moment, a call waits behind the other's before it fetches.
    Given a decider that may free inputs early
    Then it does with a backlog and daemons that stay
    And it does not without a backlog
    And it does not within 3 seconds of a daemon that came or left

  Scenario: late requests that hold scarce memory are not kept waiting
    # A late request's results fill the memory of the stage before. Put behind
    # all that can be on time they lay there until they expired, were made
    # again, and the queue never shrank.
    Given a stage queue with calls of 5 pieces and one replica
    When late pieces with inputs in scarce memory wait among hopeful ones
    Then they go into the next call
    And late pieces without go behind the hopeful
