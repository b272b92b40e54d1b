Feature: the order of a stream over all its attempts

  Scenario Outline: generated streams that <may> be resumed, first number <known>
    # Guards against events that count as passed on before they are, so that
    # the next attempt resumes behind them, and against spoiled numbers.
    When streams that <may> be resumed, whose first number is <known>, are spoiled
    Then what callers get has no hole and no event twice
    And a stream ends as complete only with its last event

    Examples: streams
      | may     | known   |
      | may     | known   |
      | may     | unknown |
      | may not | known   |
      | may not | unknown |

  Scenario: a service whose streams begin with another number than before
    # Guards against a service that is refused for good after its release.
    Given a service whose streams began with 1
    When streams of it begin with 0
    Then they are whole from the fourth on

  Scenario: a service of which a first number is spoiled now and then
    # Guards against a spoiled number that is taken for a new one.
    Given a service whose streams began with 1
    When a stream of it begins with 0 three times, with sound ones between
    Then its streams begin with 1 as before

  Scenario: a new version whose streams begin with another number
    # Guards against sound streams of a new version that are given up for as
    # long as the old version serves beside it.
    Given a service whose streams began with 1
    When streams of its new version begin with 0, beside those of the old one
    Then those of the new version are whole from the fourth on
    And those of the old one are all whole

  Scenario: sound events that come with a spoiled one
    # Guards against callers that wait for events which have come already.
    When the third of three events that come together is spoiled
    Then the caller has the two before it, and the next attempt resumes there

  Scenario: sound streams beside others whose first event is spoiled
    # Guards against a daemon that has just started, learns a spoiled number as
    # the first one of a service, and gives up the streams of sound replicas.
    When sound streams come together with some whose first event is spoiled
    Then no sound stream is taken for a spoiled one
    And none goes on behind a spoiled first event
